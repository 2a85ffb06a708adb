package conversations

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"mimosarelay/app/relay"
	"mimosarelay/app/wait"
	"mimosarelay/core/conversation"
	"mimosarelay/core/model"
	"mimosarelay/io/peer/peerpb"
)

// Keepers describes the keepers as an entry host knows them.
type Keepers struct {
	// Members are the members of the fleet that are not leaving.
	Members []KeeperDisk
	// Disks lists all disks that may hold turns. It is nil before the first answer
	// of a keeper.
	Disks []conversation.Disk
}

// KeeperDisk is the disk of a keeper; its ID is not set.
type KeeperDisk struct {
	conversation.Disk
	// Accepts is set if the keeper answered recently and stores turns that continue a
	// conversation, and AcceptsFirst if it stores first turns, too.
	Accepts, AcceptsFirst bool
}

// ClientPeers sends requests to keepers. It is implemented by io/peer.
type ClientPeers interface {
	SaveTurn(ctx context.Context, address string, r *peerpb.SaveTurnRequest) (*peerpb.SaveTurnResponse, error)
	FetchChain(ctx context.Context, address string, r *peerpb.FetchChainRequest) (*peerpb.FetchChainResponse, error)
}

// Client reads and writes turns on behalf of an entry host.
type Client struct {
	options ClientOptions
	saved   tally.Histogram
	fetched tally.Histogram
}

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	Zone model.Zone
	// Keepers returns the keepers that are known now.
	Keepers func() Keepers
	// Copies is the number of disks that hold each turn.
	Copies int
	Peers  ClientPeers
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope
}

var _ relay.Conversations = (*Client)(nil)

const (
	// saveHedge is how long a keeper may take to store a turn before another one is
	// asked as well. A write takes a few milliseconds.
	saveHedge = 150 * time.Millisecond
	// saveTimeout limits the time to store a turn. It is shorter than the time in which
	// a lost disk is replaced, so that all disks that answered still hold the turn or
	// count as lost.
	saveTimeout = 2 * time.Second
	// fetchHedge is how long a keeper may take to return a conversation before all
	// others are asked.
	fetchHedge = 100 * time.Millisecond
	// fetchTimeout limits a request to all keepers.
	fetchTimeout = 400 * time.Millisecond
	// fetchWait is how long a request waits for keepers that may hold the
	// conversation, for example during a restart of the fleet.
	fetchWait = 1200 * time.Millisecond
	// fetchInterval is the time between two attempts.
	fetchInterval = 50 * time.Millisecond
	// uncertainRetryAfter is the Retry-After of requests that need a keeper which
	// does not answer. Lost keepers are back or replaced within seconds.
	uncertainRetryAfter = 800 * time.Millisecond
)

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)
	scope := o.Scope.SubScope("turns")
	return &Client{options: o, saved: scope.Histogram("save_seconds", buckets), fetched: scope.Histogram("fetch_seconds", buckets)}
}

// Begin implements relay.Conversations. It refuses turns that could not be stored.
func (c *Client) Begin(ctx context.Context, program model.ProgramKey, previous model.RequestID) (relay.Conversation, error) {
	keepers, err := c.awaitKeepers(ctx, previous == "")
	if err != nil {
		return relay.Conversation{}, err
	}
	own := conversation.NewChainID(program)
	if previous == "" {
		return relay.Conversation{Chain: own}, nil
	}
	start := c.options.Clock.Now()
	key := conversation.TurnKey{Workspace: program.Workspace, ID: previous}
	for {
		found, err := c.fetch(ctx, key, c.readOrder(own, keepers), keepers.Disks)
		switch {
		case err == nil:
			c.fetched.RecordDuration(c.options.Clock.Since(start))
			return found, nil
		case errors.Is(err, conversation.ErrNoTurn):
			return relay.Conversation{}, model.NewRefusal(model.ErrNotFound, model.RanNo, "turn %q of workspace %q does not exist or has lapsed", previous, program.Workspace)
		case errors.Is(err, model.ErrTooLarge):
			return relay.Conversation{}, model.NewRefusal(model.ErrTooLarge, model.RanNo, "%v", err)
		case ctx.Err() != nil || c.options.Clock.Since(start) >= fetchWait:
			return relay.Conversation{}, model.NewRefusal(model.ErrUnavailable, model.RanNo, "turn %q cannot be read now: %v", previous, err).Retry(uncertainRetryAfter)
		}
		wait.For(ctx, c.options.Clock, fetchInterval)
		keepers = c.options.Keepers()
	}
}

// awaitKeepers waits until enough keepers store new turns; if begins is set, first
// turns.
func (c *Client) awaitKeepers(ctx context.Context, begins bool) (Keepers, error) {
	start := c.options.Clock.Now()
	for {
		keepers := c.options.Keepers()
		n := 0
		for _, m := range keepers.Members {
			if m.Accepts && (m.AcceptsFirst || !begins) {
				n++
			}
		}
		if n >= c.options.Copies {
			return keepers, nil
		}
		if ctx.Err() != nil || c.options.Clock.Since(start) >= fetchWait {
			return keepers, model.NewRefusal(model.ErrUnavailable, model.RanNo, "%d of %d keepers store turns, %d are needed", n, len(keepers.Members), c.options.Copies).Retry(uncertainRetryAfter)
		}
		wait.For(ctx, c.options.Clock, fetchInterval)
	}
}

// writeOrder returns the keepers in the order in which they are asked to store a turn
// of a chain.
func (c *Client) writeOrder(chain conversation.ChainID, keepers Keepers) []conversation.Disk {
	accepts := map[model.HostID]bool{}
	var disks []conversation.Disk
	for _, m := range keepers.Members {
		accepts[m.Host] = m.Accepts
		disks = append(disks, m.Disk)
	}
	order := conversation.PreferredDisks(chain, disks)
	slices.SortStableFunc(order, func(a, b conversation.Disk) int { return cmp.Compare(rank(accepts[b.Host]), rank(accepts[a.Host])) })
	return order
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// readOrder returns the keepers that should hold a chain and answer, with those in the
// zone of this host first.
func (c *Client) readOrder(chain conversation.ChainID, keepers Keepers) []conversation.Disk {
	order := c.writeOrder(chain, keepers)
	order = order[:min(c.options.Copies, len(order))]
	slices.SortStableFunc(order, func(a, b conversation.Disk) int {
		return cmp.Compare(rank(b.Zone == c.options.Zone), rank(a.Zone == c.options.Zone))
	})
	return order
}

// fetch returns the conversation up to a turn. It asks the first of the preferred
// disks, and all disks if that one does not have it.
func (c *Client) fetch(ctx context.Context, key conversation.TurnKey, preferred, all []conversation.Disk) (relay.Conversation, error) {
	var text []byte
	var chain conversation.ChainID
	for {
		res, err := c.fetchPart(ctx, key, preferred, all)
		if err != nil {
			if len(text) > 0 && errors.Is(err, conversation.ErrNoTurn) {
				// A turn that another one continues is kept as long as that one.
				err = fmt.Errorf("%w: turn %q, which a kept turn continues", conversation.ErrUncertain, key.ID)
			}
			return relay.Conversation{}, err
		}
		if chain == 0 {
			chain = conversation.ChainID(res.GetChain())
		}
		text = append(slices.Clip(res.GetText()), text...)
		if len(text) > maxChainBytes {
			return relay.Conversation{}, fmt.Errorf("conversation exceeds %d bytes: %w", maxChainBytes, model.ErrTooLarge)
		}
		if res.GetMissing() == "" {
			return relay.Conversation{Chain: chain, Text: text}, nil
		}
		key.ID = model.RequestID(res.GetMissing())
	}
}

// fetchPart returns the newest part of a conversation that one disk has.
func (c *Client) fetchPart(ctx context.Context, key conversation.TurnKey, preferred, all []conversation.Disk) (*peerpb.FetchChainResponse, error) {
	for _, d := range preferred {
		res, err := c.fetchFrom(ctx, d, key, fetchHedge)
		if err == nil && res.GetFound() && res.GetMissing() == "" {
			return res, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return c.fetchFromAll(ctx, key, all)
}

func (c *Client) fetchFrom(ctx context.Context, d conversation.Disk, key conversation.TurnKey, timeout time.Duration) (*peerpb.FetchChainResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, timeout)
	defer cancel()
	return c.options.Peers.FetchChain(ctx, d.PeerAddress, &peerpb.FetchChainRequest{Workspace: string(key.Workspace), Id: string(key.ID)})
}

// fetchFromAll asks all disks and returns the first complete answer, else the first
// one with a part. It fails with conversation.ErrNoTurn only if every disk that may
// hold the turn answered that it does not and has lost none.
func (c *Client) fetchFromAll(ctx context.Context, key conversation.TurnKey, all []conversation.Disk) (*peerpb.FetchChainResponse, error) {
	type answer struct {
		disk conversation.Disk
		res  *peerpb.FetchChainResponse
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(all))
	for _, d := range all {
		go func() {
			res, err := c.fetchFrom(ctx, d, key, fetchTimeout)
			answers <- answer{d, res, err}
		}()
	}
	certain := len(all) > 0
	var part *peerpb.FetchChainResponse
	cause := errors.New("no disk is known")
	for range all {
		a := <-answers
		switch {
		case a.err != nil:
			certain, cause = false, a.err
		case a.res.GetFound() && a.res.GetMissing() == "":
			return a.res, nil
		case a.res.GetFound():
			part = a.res
		case !a.res.GetWholeDisk():
			certain, cause = false, fmt.Errorf("the disk of keeper %s is not complete", a.disk.Host)
		}
	}
	switch {
	case part != nil:
		return part, nil
	case !certain:
		return nil, fmt.Errorf("%w: %w", conversation.ErrUncertain, cause)
	}
	return nil, conversation.ErrNoTurn
}

// Save implements relay.Conversations. It returns when the turn is on enough disks.
func (c *Client) Save(ctx context.Context, t *conversation.Turn) error {
	start := c.options.Clock.Now()
	order := c.writeOrder(t.Chain, c.options.Keepers())
	request := &peerpb.SaveTurnRequest{Record: encodeTurn(t)}
	ctx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, saveTimeout)
	results := make(chan error, len(order))
	started, running, stored := 0, 0, 0
	startNext := func() {
		if started == len(order) {
			return
		}
		d := order[started]
		started++
		running++
		go func() {
			_, err := c.options.Peers.SaveTurn(ctx, d.PeerAddress, request)
			if err != nil {
				err = fmt.Errorf("keeper %s: %w", d.Host, err)
			}
			results <- err
		}()
	}
	defer cancel()
	for range c.options.Copies {
		startNext()
	}
	hedge := c.options.Clock.NewTicker(saveHedge)
	defer hedge.Stop()
	var failures []error
	for stored < c.options.Copies && running > 0 {
		select {
		case err := <-results:
			running--
			if err == nil {
				stored++
				continue
			}
			failures = append(failures, err)
			startNext()
		case <-hedge.Chan():
			startNext()
		case <-ctx.Done():
			return fmt.Errorf("%w: %d of %d: %w", conversation.ErrTooFewCopies, stored, c.options.Copies, ctx.Err())
		}
	}
	if stored < c.options.Copies {
		return fmt.Errorf("%w: %d of %d: %w", conversation.ErrTooFewCopies, stored, c.options.Copies, errors.Join(failures...))
	}
	c.saved.RecordDuration(c.options.Clock.Since(start))
	return nil
}
