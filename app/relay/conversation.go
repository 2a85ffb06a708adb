package relay

import (
	"context"

	"mimosarelay/core/conversation"
	"mimosarelay/core/memory"
	"mimosarelay/core/model"
	"mimosarelay/io/buffer"
)

// keeps reports whether the turn is kept, so that a later one can continue it.
func (c *forwardCall) keeps() bool { return c.Route.Retention > 0 && c.Route.Streaming() }

func (c *forwardCall) programKey() model.ProgramKey {
	return model.ProgramKey{Workspace: c.Workspace, Program: c.Program}
}

// beginConversation reads the conversation that a turn continues.
func (s *Service) beginConversation(ctx context.Context, c *forwardCall) error {
	switch {
	case s.Conversations == nil:
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "route %q keeps conversations, which this deployment does not support", c.Route.Name)
	case c.Previous == c.ID:
		return model.NewRefusal(model.ErrBadRequest, model.RanNo, "turn %q names itself as the previous turn", c.ID)
	case c.LastEvent != "":
		// The events before it are known only to the host that forwarded them, so
		// that the turn could not be kept whole.
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "a turn that is kept cannot be resumed after event %q, it must be sent again", c.LastEvent)
	}
	found, err := s.Conversations.Begin(ctx, c.programKey(), c.Previous)
	if err != nil {
		return err
	}
	c.chain = found.Chain
	if len(found.Text) == 0 {
		return nil
	}
	size := memory.Bytes(len(found.Text) + len(c.Body))
	if err := buffer.Reserve(ctx, c.Memory, memory.Bodies, size, wholeAnswerMemoryWait); err != nil {
		return model.NewRefusal(model.ErrUnavailable, model.RanNo, "this host has no memory for the conversation now: %v", err).Retry(noMemoryRetryAfter)
	}
	c.chainReserved = size
	c.targetBody = make([]byte, 0, size)
	c.targetBody = append(append(c.targetBody, found.Text...), c.Body...)
	return nil
}

// releaseChain returns the memory of the conversation.
func (c *forwardCall) releaseChain() {
	c.Memory.Release(memory.Bodies, c.chainReserved)
	c.chainReserved = 0
}

// saveTurn stores a turn whose stream is complete.
func (s *Service) saveTurn(ctx context.Context, c *forwardCall, output []byte) error {
	err := s.Conversations.Save(ctx, &conversation.Turn{
		TurnKey: conversation.TurnKey{Workspace: c.Workspace, ID: c.ID}, Previous: c.Previous, Chain: c.chain,
		Input: c.Body, Output: output, EndedAt: s.Clock.Now(), Retention: c.Route.Retention,
	})
	if err != nil {
		s.Log.Warn("turn could not be kept, its response is broken off", "request", c.ID, "previous", c.Previous, "error", err)
	}
	return err
}
