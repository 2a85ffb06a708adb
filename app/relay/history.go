package relay

import (
	"encoding/json"
	"sync"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// recordedRequest is what the history keeps of a call's request. Callers of
// chat completions send all earlier messages again with each call; only the
// new ones are kept, else a history would grow with the square of its turns.
type recordedRequest struct {
	// After is the call whose messages come first, and Kept their number;
	// zero if Messages holds all.
	After    model.CallNumber  `json:",omitempty"`
	Kept     int               `json:",omitempty"`
	Messages []json.RawMessage `json:",omitempty"`
	// Body is the request of a call to a plain service.
	Body []byte `json:",omitempty"`
}

// turnBase describes the messages of a program's latest recorded call.
type turnBase struct {
	call   model.CallNumber
	count  int
	prefix uint64 // hash of the messages
}

// maxTurnBases bounds the table. A missing entry costs only space in the next
// record, which then holds all messages.
const maxTurnBases = 100_000

// turnBases remembers the latest recorded call of each program on this host.
type turnBases struct {
	mu    sync.Mutex // guards table
	table map[model.ProgramKey]turnBase
}

func newTurnBases() *turnBases {
	return &turnBases{table: map[model.ProgramKey]turnBase{}}
}

func (t *turnBases) get(key model.ProgramKey) turnBase {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table[key]
}

func (t *turnBases) set(key model.ProgramKey, b turnBase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.table) >= maxTurnBases {
		clear(t.table)
	}
	t.table[key] = b
}

// recordMessages returns the part of a call's messages that is new after base.
// prefixes holds the hash of each leading part of messages.
func recordMessages(base turnBase, messages []json.RawMessage, prefixes []uint64) recordedRequest {
	known := base.count > 0 && base.count <= len(messages) && prefixes[base.count-1] == base.prefix
	if !known {
		return recordedRequest{Messages: messages}
	}
	return recordedRequest{After: base.call, Kept: base.count, Messages: messages[base.count:]}
}

// programHistory is the answer to QueryHistory.
type programHistory struct {
	Program model.ProgramID
	Turns   []historyTurn
}

// historyTurn is one finished call. Answer is the text that the caller got.
type historyTurn struct {
	Call model.CallNumber
	recordedRequest
	Answer      string
	ContentType string
	Status      int
}

func historyTurns(turns []program.Turn) ([]historyTurn, error) {
	list := make([]historyTurn, 0, len(turns))
	for _, t := range turns {
		h := historyTurn{Call: t.Call, Answer: string(t.Answer), ContentType: t.ContentType, Status: t.Status}
		if err := json.Unmarshal(t.Messages, &h.recordedRequest); err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	return list, nil
}
