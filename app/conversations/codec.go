// Package conversations keeps the turns of conversations for callers. Entry hosts
// write each turn to the disks of several keepers before its response ends, and read
// the earlier turns of a conversation from them. Keepers copy from each other the
// turns that they should hold and lack.
package conversations

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// recordVersion is the version of the format of stored turns.
const recordVersion = 1

// errRecord reports a record of a turn that cannot be used.
var errRecord = errors.New("invalid record of a turn")

func encodeTurn(t *conversation.Turn) *peerpb.TurnRecord {
	return &peerpb.TurnRecord{
		Version: recordVersion, Workspace: string(t.Workspace), Id: string(t.ID), Previous: string(t.Previous), Chain: uint64(t.Chain),
		Input: t.Input, Output: t.Output, EndedUnixMs: t.EndedAt.UnixMilli(), RetentionMs: t.Retention.Milliseconds(),
	}
}

func decodeTurn(r *peerpb.TurnRecord) (*conversation.Turn, error) {
	switch {
	case r.GetVersion() != recordVersion:
		return nil, fmt.Errorf("%w: format version %d is not supported, expected %d", errRecord, r.GetVersion(), recordVersion)
	case r.GetId() == "" || r.GetId() == r.GetPrevious():
		return nil, fmt.Errorf("%w: id %q, previous turn %q", errRecord, r.GetId(), r.GetPrevious())
	case r.GetRetentionMs() <= 0 || r.GetEndedUnixMs() <= 0:
		return nil, fmt.Errorf("%w: turn %q ended at %d ms and is kept for %d ms", errRecord, r.GetId(), r.GetEndedUnixMs(), r.GetRetentionMs())
	}
	return &conversation.Turn{
		TurnKey:  conversation.TurnKey{Workspace: model.WorkspaceID(r.GetWorkspace()), ID: model.RequestID(r.GetId())},
		Previous: model.RequestID(r.GetPrevious()), Chain: conversation.ChainID(r.GetChain()), Input: r.GetInput(), Output: r.GetOutput(),
		EndedAt: time.UnixMilli(r.GetEndedUnixMs()), Retention: time.Duration(r.GetRetentionMs()) * time.Millisecond,
	}, nil
}

// marshalTurn returns the stored form of a turn, which is the same at each keeper.
func marshalTurn(t *conversation.Turn) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(encodeTurn(t))
}

func unmarshalTurn(data []byte) (*conversation.Turn, error) {
	var r peerpb.TurnRecord
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecord, err)
	}
	return decodeTurn(&r)
}

// diskKey is the key of a turn in the data folder.
func diskKey(k conversation.TurnKey) string { return string(k.Workspace) + "\x00" + string(k.ID) }

func encodeName(k conversation.TurnKey) *peerpb.TurnName {
	return &peerpb.TurnName{Workspace: string(k.Workspace), Id: string(k.ID)}
}

func decodeName(m *peerpb.TurnName) conversation.TurnKey {
	return conversation.TurnKey{Workspace: model.WorkspaceID(m.GetWorkspace()), ID: model.RequestID(m.GetId())}
}

// EncodeDisk returns the message for a disk.
func EncodeDisk(d conversation.Disk) *peerpb.TurnDisk {
	return &peerpb.TurnDisk{Host: string(d.Host), Zone: string(d.Zone), PeerAddress: d.PeerAddress, Id: d.ID}
}

// DecodeDisk returns the disk in a message.
func DecodeDisk(m *peerpb.TurnDisk) conversation.Disk {
	return conversation.Disk{Host: model.HostID(m.GetHost()), Zone: model.Zone(m.GetZone()), PeerAddress: m.GetPeerAddress(), ID: m.GetId()}
}
