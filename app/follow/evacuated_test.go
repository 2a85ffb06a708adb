package follow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
)

// Guards against an evacuation order that entry hosts learn late or by reading the
// store, and against one that is not revoked.
func TestEvacuationOrdersComeFromKeepers(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	for _, zones := range [][]model.Zone{{"a"}, {"a", "b"}, {}} {
		keepers.evacuate(zones...)
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, slices.Equal(entry.Latest().Evacuated(), zones), "%v", entry.Latest().Evacuated())
	}
	assert.Equal(t, direct.callCount(), 0)
}

// Guards against an order that a host forgets because a keeper that cannot reach the
// store, or one that is behind, states an earlier one.
func TestOldKeepersDoNotRevokeEvacuations(t *testing.T) {
	t.Parallel()
	keepers, direct, entry := startTestCatalogs(t)
	keepers.evacuate()
	time.Sleep(300 * time.Millisecond)
	keepers.update(func() { keepers.unavailable = true })
	direct.evacuate("a")
	direct.evacuate("a") // a later revision than the one that the keepers know
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, slices.Equal(entry.Latest().Evacuated(), []model.Zone{"a"}), "%v", entry.Latest().Evacuated())
	before := direct.callCount()
	keepers.update(func() { keepers.unavailable = false })
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, slices.Equal(entry.Latest().Evacuated(), []model.Zone{"a"}), "%v", entry.Latest().Evacuated())
	}
	assert.Assert(t, direct.callCount()-before < 10, "the host reads the store without a pause")
}
