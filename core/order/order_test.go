package order

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

// Guards against tokens that repeat or decrease within an epoch, across epochs or
// after a restart, and against tokens of an epoch that has passed.
func TestTokensIncreaseAcrossEpochsAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var last FencingToken
		epoch := model.Epoch(1)
		source := &TokenSource{}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				epoch += model.Epoch(rapid.Uint64Range(1, 1000).Draw(rt, "epochs"))
			case 1: // a restart joins in a new epoch
				epoch++
				source = &TokenSource{}
			}
			token, err := source.Next(epoch)
			if err != nil {
				rt.Fatal(err)
			}
			if token <= last || token.Epoch() != epoch {
				rt.Fatalf("got token %d of epoch %d, want epoch %d and more than token %d", token, token.Epoch(), epoch, last)
			}
			last = token
		}
		if _, err := source.Next(epoch - 1); err == nil {
			rt.Fatalf("got a token of epoch %d after one of epoch %d", epoch-1, epoch)
		}
	})
}

// Guards against a counter that overflows into the bits of the epoch, and against
// an epoch that is truncated.
func TestTokenPartsThatDoNotFitAreRejected(t *testing.T) {
	_, err := NewFencingToken(1, maxCounter+1)
	assert.ErrorContains(t, err, "does not fit")
	_, err = NewFencingToken(maxEpoch+1, 1)
	assert.ErrorContains(t, err, "does not fit")
}

// Guards against orders that count as in effect although the state of the engine
// differs.
func TestStateThatDiffersDoesNotSatisfyOrder(t *testing.T) {
	s := State{
		Models: map[string]string{"m": "2"}, Adapters: map[string]Adapter{"a": {Model: "m", Version: "1"}}, Role: "decode",
	}
	tests := map[string]struct {
		order Order
		want  bool
	}{
		"same model":      {Order{Kind: LoadModel, Model: "m", Version: "2"}, true},
		"other version":   {Order{Kind: LoadModel, Model: "m", Version: "1"}, false},
		"missing model":   {Order{Kind: LoadModel, Model: "n"}, false},
		"same adapter":    {Order{Kind: LoadAdapter, Model: "m", Adapter: "a", Version: "1"}, true},
		"missing adapter": {Order{Kind: LoadAdapter, Model: "m", Adapter: "b"}, false},
		"same role":       {Order{Kind: SetRole, Role: "decode"}, true},
		"other role":      {Order{Kind: SetRole, Role: "prefill"}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, s.Satisfies(c.order), c.want) })
	}
}
