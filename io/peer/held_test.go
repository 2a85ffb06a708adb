package peer

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"
)

// Guards against a message whose size is not followed, however its frames arrive.
func TestMeterFollowsMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var m messageMeter
		want := uint64(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "frames") {
			fr := drpcwire.Frame{
				ID: drpcwire.ID{Stream: uint64(1 + i*rapid.IntRange(0, 1000).Draw(t, "stream")), Message: uint64(i + 1)}, Kind: drpcwire.KindMessage,
				Data: make([]byte, rapid.IntRange(0, 300).Draw(t, "size")), Done: rapid.Bool().Draw(t, "done"),
			}
			got := uint64(0)
			for data := drpcwire.AppendFrame(nil, fr); len(data) > 0; {
				n := rapid.IntRange(1, len(data)).Draw(t, "read")
				got = m.add(data[:n])
				data = data[n:]
			}
			if want += uint64(len(fr.Data)); fr.Done {
				want = 0
			}
			assert.Equal(t, got, want)
		}
	})
}
