package evidence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"mimosarelay/core/evidence"
)

func ExampleStamp() {
	clock := clockwork.NewFakeClock()
	asked := evidence.Now(clock)
	clock.Advance(300 * time.Millisecond)
	// Another host that gets the evidence in the answer to a request that it sent
	// 200 ms ago is told its age when that request arrived.
	relayed := evidence.Now(clock).Before(asked.Age())
	clock.Advance(time.Second)
	fmt.Println(relayed.Age(), relayed.Within(evidence.MaxAge(time.Second)), evidence.Stamp{}.Within(evidence.MaxAge(time.Hour)))
	// Output: 1.3s false false
}

// Guards against unknown evidence that is accepted, and against a sender whose stated
// age makes evidence last longer than from now.
func TestStampNeverLooksYoungerThanItIs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var none evidence.Stamp
	assert.Equal(t, none.Age(), evidence.Unknown)
	assert.Equal(t, none.Left(evidence.MaxAge(time.Second)), time.Duration(0))
	sent := evidence.Now(clock)
	clock.Advance(time.Second)
	assert.Equal(t, sent.Before(-time.Hour).Age(), time.Duration(0))
	assert.Equal(t, sent.Before(-400*time.Millisecond).Age(), 600*time.Millisecond)
	assert.Equal(t, sent.Left(evidence.MaxAge(1500*time.Millisecond)), 500*time.Millisecond)
	assert.Equal(t, evidence.Newer(sent, evidence.Now(clock)).Age(), time.Duration(0))
	assert.Equal(t, evidence.Newer(sent, none).Age(), time.Second)
	assert.Equal(t, evidence.Newer(none, sent).Age(), time.Second)
}
