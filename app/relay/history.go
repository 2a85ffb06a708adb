package relay

import (
	"encoding/json"
	"fmt"
	"sync"

	"mimosarelay/core/model"
	"mimosarelay/core/program"
)

// recordedRequest is the part of a call's request that the history stores.
// Callers of chat completions repeat all earlier messages in each call. Only the
// new messages are stored; otherwise the history would grow with the square of
// the number of turns.
type recordedRequest struct {
	// After is the call whose messages precede Messages, and Kept is their
	// number. Both are zero if Messages is complete.
	After    model.CallNumber  `json:",omitempty"`
	Kept     int               `json:",omitempty"`
	Messages []json.RawMessage `json:",omitempty"`
	// Body is the request body of a call to a plain service.
	Body []byte `json:",omitempty"`
}

// recordedPrefix describes the messages of a program's latest recorded call,
// which the next call is expected to repeat.
type recordedPrefix struct {
	call         model.CallNumber
	messageCount int
	hash         uint64 // hash over all messages
}

// maxRecordedPrefixes limits the number of entries. Without an entry, the next
// record holds all messages and only takes more space.
const maxRecordedPrefixes = 100_000

// recordedPrefixes holds the latest recorded call of each program on this host.
type recordedPrefixes struct {
	mu        sync.Mutex // guards byProgram
	byProgram map[model.ProgramKey]recordedPrefix
}

func newRecordedPrefixes() *recordedPrefixes {
	return &recordedPrefixes{byProgram: map[model.ProgramKey]recordedPrefix{}}
}

func (p *recordedPrefixes) get(key model.ProgramKey) recordedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byProgram[key]
}

func (p *recordedPrefixes) set(key model.ProgramKey, latest recordedPrefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byProgram) >= maxRecordedPrefixes {
		clear(p.byProgram)
	}
	p.byProgram[key] = latest
}

// newMessages returns a record of the messages that follow those of base, or of
// all messages if they do not begin with those of base. prefixes holds one hash
// per leading part of messages.
func newMessages(base recordedPrefix, messages []json.RawMessage, prefixes []uint64) recordedRequest {
	extendsBase := base.messageCount > 0 && base.messageCount <= len(messages) && prefixes[base.messageCount-1] == base.hash
	if !extendsBase {
		return recordedRequest{Messages: messages}
	}
	return recordedRequest{After: base.call, Kept: base.messageCount, Messages: messages[base.messageCount:]}
}

// programHistory is the answer to QueryHistory.
type programHistory struct {
	Program model.ProgramID
	Turns   []historyTurn
}

// historyTurn is one completed call. Answer is the body that the caller received.
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
			return nil, fmt.Errorf("decode the recorded request of call %d: %w", t.Call, err)
		}
		list = append(list, h)
	}
	return list, nil
}
