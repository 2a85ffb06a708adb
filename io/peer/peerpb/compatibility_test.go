package peerpb_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"mimosarelay/io/peer/peerpb"
)

// Guards against processes of an earlier version that a later one does not understand, and the reverse.
func TestMessagesWithoutAddedFieldsKeepTheirEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		message, empty proto.Message
		encoded        string
	}{
		"configuration request": {
			&peerpb.ConfigurationRequest{KnownRevision: 7, WaitMs: 8, WithoutValue: true}, &peerpb.ConfigurationRequest{},
			"\x08\x07\x10\x08\x18\x01",
		},
		"target entry": {
			&peerpb.TargetEntry{Id: "a", Service: "b", Address: "c", Zone: "d", Slots: 5, Leaving: true}, &peerpb.TargetEntry{},
			"\x0a\x01a\x12\x01b\x1a\x01c\x22\x01d\x28\x05\x30\x01",
		},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.message)
			assert.NilError(t, err)
			assert.Equal(t, string(data), c.encoded)
			assert.NilError(t, proto.Unmarshal([]byte(c.encoded), c.empty))
			assert.Assert(t, proto.Equal(c.empty, c.message))
		})
	}
}
