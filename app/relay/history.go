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
type recordedPrefix struct {
	call         model.CallNumber
	messageCount int
	hash         uint64 // hash of the messages
}

// maxTurnBases bounds the table. A missing entry costs only space in the next
// record, which then holds all messages.
const maxRecordedPrefixes = 100_000

// turnBases remembers the latest recorded call of each program on this host.
type recordedPrefixes struct {
	mu        sync.Mutex // guards table
	byProgram map[model.ProgramKey]recordedPrefix
}

func newRecordedPrefixes() *recordedPrefixes {
	return &recordedPrefixes{byProgram: map[model.ProgramKey]recordedPrefix{}}
}

func (t *recordedPrefixes) get(key model.ProgramKey) recordedPrefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byProgram[key]
}

func (t *recordedPrefixes) set(key model.ProgramKey, b recordedPrefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byProgram) >= maxRecordedPrefixes {
		clear(t.byProgram)
	}
	t.byProgram[key] = b
}

// recordMessages returns the part of a call's messages that is new after base.
// prefixes holds the hash of each leading part of messages.
func newMessages(base recordedPrefix, messages []json.RawMessage, prefixes []uint64) recordedRequest {
	known := base.messageCount > 0 && base.messageCount <= len(messages) && prefixes[base.messageCount-1] == base.hash
	if !known {
		return recordedRequest{Messages: messages}
	}
	return recordedRequest{After: base.call, Kept: base.messageCount, Messages: messages[base.messageCount:]}
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
