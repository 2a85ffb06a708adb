package order

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mimosarelay/core/model"
	_ "mimosarelay/test/fixedseed"
)

// Guards against tokens that repeat or fall, within an epoch and across epochs
// and processes.
func TestFencesGrow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var last FencingToken
		epoch := model.Epoch(1)
		f := &TokenSource{}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				epoch += model.Epoch(rapid.Uint64Range(1, 1000).Draw(rt, "epochs"))
			case 1: // a restart joins in a new epoch
				epoch++
				f = &TokenSource{}
			}
			x, err := f.Next(epoch)
			if err != nil {
				rt.Fatal(err)
			}
			if x <= last || x.Epoch() != epoch {
				rt.Fatalf("token %d of epoch %d after %d", x, epoch, last)
			}
			last = x
		}
		if _, err := f.Next(epoch - 1); err == nil {
			rt.Fatal("token of an old epoch")
		}
	})
}

// Guards against a counter that runs over into the epoch.
func TestFenceOverflow(t *testing.T) {
	_, err := NewFencingToken(1, maxCounter+1)
	assert.ErrorContains(t, err, "does not fit")
	_, err = NewFencingToken(maxEpoch+1, 1)
	assert.ErrorContains(t, err, "does not fit")
}

// Guards against orders that count as done although the state differs.
func TestHolds(t *testing.T) {
	s := State{
		Models: map[string]string{"m": "2"}, Adapters: map[string]Adapter{"a": {Model: "m", Version: "1"}}, Role: "decode",
	}
	tests := map[string]struct {
		order Order
		want  bool
	}{
		"model":           {Order{Kind: LoadModel, Model: "m", Version: "2"}, true},
		"other version":   {Order{Kind: LoadModel, Model: "m", Version: "1"}, false},
		"missing model":   {Order{Kind: LoadModel, Model: "n"}, false},
		"adapter":         {Order{Kind: LoadAdapter, Model: "m", Adapter: "a", Version: "1"}, true},
		"missing adapter": {Order{Kind: LoadAdapter, Model: "m", Adapter: "b"}, false},
		"role":            {Order{Kind: SetRole, Role: "decode"}, true},
		"other role":      {Order{Kind: SetRole, Role: "prefill"}, false},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, s.Satisfies(x.order), x.want) })
	}
}
