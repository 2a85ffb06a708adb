// Package memory is the account of the bytes that a process holds for its callers
// and targets. Each connection has a Holder, which reserves bytes before they are
// read. If the account is full, the account chooses the holders that lose theirs.
package memory

import (
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bytes is an amount of memory.
type Bytes int64

// Kind is what reserved bytes are used for.
type Kind int

// Kinds of reserved bytes.
const (
	Connections Kind = iota // buffers of a connection, with the header of its request
	Bodies                  // bodies of requests
	Answers                 // answers of targets
	Messages                // messages between hosts
	Streams                 // events of streams, and outputs that are kept until they are recorded
	kindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"connections", "bodies", "answers", "messages", "streams"}[k]
}

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Connections, Bodies, Answers, Messages, Streams} }

// Phase is what a holder's connection does.
type Phase int

// Phases of a connection.
const (
	Idle      Phase = iota // waits for a request
	Receiving              // receives a request
	Running                // has sent a complete request that has no answer yet
	Answering              // receives an answer
	phaseCount
)

// String returns the name of the phase in metrics.
func (p Phase) String() string { return [...]string{"idle", "receiving", "running", "answering"}[p] }

// Phases lists all phases.
func Phases() []Phase { return []Phase{Idle, Receiving, Running, Answering} }

// Errors of a reservation.
var (
	// ErrFull reports that there is no memory now. It may be available after
	// Account.Freed.
	ErrFull = errors.New("memory: the account is full")
	// ErrEvicted reports that the holder has lost its memory to others.
	ErrEvicted = errors.New("memory: evicted under memory pressure")
)

const (
	// window is the time over which the rate of a connection is taken. A byte now
	// and then is no progress.
	window = time.Second
	// minProgress is the number of bytes in a window that count as progress. It is
	// the rate at which a body of 100 kB takes longer than the time limit for bodies.
	minProgress Bytes = 8 << 10
	// stallTime is how long a connection is without progress before others may take
	// its memory. It is above the time that a lost packet costs.
	stallTime = time.Second
	// streamsPart limits Streams to 1/n of the account. A stream holds its memory until
	// its target goes on, so that ordinary requests need the rest.
	streamsPart = 2
)

// Account is the memory of a process for its callers and targets. It is safe for
// concurrent use.
type Account struct {
	clock      clockwork.Clock
	capacity   Bytes
	maxHolders int

	mu      sync.Mutex // guards all below and the fields of holders
	held    Bytes
	byKind  [kindCount]Bytes
	leaving Bytes // held by evicted holders
	// leavingHolders is the number of evicted holders that are not closed.
	leavingHolders int
	holders        map[*Holder]struct{}
	sources        map[netip.Addr]Bytes
	freed          chan struct{} // closed when bytes are released; nil if nobody waits
	evicted        [phaseCount]int64
}

// Options configures an Account. All fields are required.
type Options struct {
	Capacity Bytes
	// MaxHolders limits the number of connections.
	MaxHolders int
	Clock      clockwork.Clock
}

// New returns an empty account.
func New(o Options) *Account {
	return &Account{clock: o.Clock, capacity: o.Capacity, maxHolders: o.MaxHolders, holders: map[*Holder]struct{}{}, sources: map[netip.Addr]Bytes{}}
}

// Part returns an account of 1/n of the size, for holders that must neither take the
// memory of the others nor lose theirs to them.
func (a *Account) Part(n int) *Account {
	return New(Options{Capacity: a.capacity / Bytes(n), MaxHolders: a.maxHolders, Clock: a.clock})
}

// Capacity returns the size of the account.
func (a *Account) Capacity() Bytes { return a.capacity }

// Stats describes an account at one moment.
type Stats struct {
	Held    Bytes
	ByKind  [kindCount]Bytes
	Holders int
	// Evicted counts evicted holders by their phase, since the start.
	Evicted [phaseCount]int64
}

// Stats returns the state of the account.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{a.held, a.byKind, len(a.holders), a.evicted}
}

// Freed returns a channel that is closed when bytes are released after this call.
func (a *Account) Freed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Leaving reports whether evicted holders have not released their memory yet.
func (a *Account) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leavingHolders > 0
}

// Holder reserves bytes for one connection. A nil Holder reserves without a limit.
type Holder struct {
	account *Account
	source  netip.Addr
	// evict ends what the connection does in the given phase. It must not block or
	// use the account.
	evict func(Phase)

	phase       Phase
	held        [kindCount]Bytes
	total       Bytes
	lost        bool
	closed      bool
	progressAt  time.Time // end of the last window with progress, or the start of the phase
	windowStart time.Time
	windowBytes Bytes
	// pausedAt is when the connection began to wait for its target; zero while its
	// caller is expected to send or to take bytes.
	pausedAt time.Time
}

// Open returns a holder for a connection from source that holds n bytes of
// Connections. evict is called if the holder loses its memory; the connection must
// then release it. Open fails with ErrFull like Reserve. A nil Account has no limit.
func (a *Account) Open(source netip.Addr, n Bytes, evict func(Phase)) (*Holder, error) {
	if a == nil {
		return nil, nil
	}
	now := a.clock.Now()
	h := &Holder{account: a, source: source, evict: evict, progressAt: now, windowStart: now}
	a.mu.Lock()
	victims, err := a.open(h, n, now)
	a.mu.Unlock()
	evictAll(victims)
	return h, err
}

func (a *Account) open(h *Holder, n Bytes, now time.Time) ([]victim, error) {
	if len(a.holders) < a.maxHolders {
		victims, err := a.reserve(h, Connections, n, now)
		if err == nil {
			a.holders[h] = struct{}{}
		}
		return victims, err
	}
	if a.leavingHolders > 0 {
		return nil, ErrFull
	}
	v := a.choose(h, now)
	if v == nil {
		return nil, ErrFull
	}
	return []victim{a.evict(v)}, ErrFull
}

// Close releases all that the holder has reserved.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	for k := range h.held {
		a.change(h, Kind(k), -h.held[k])
	}
	delete(a.holders, h)
	if h.lost {
		a.leavingHolders--
	}
}

// SetPhase records that the connection begins a phase. A holder that was evicted while
// it received the end of its request keeps its memory, because the request is now
// complete.
func (h *Holder) SetPhase(p Phase) {
	if h == nil {
		return
	}
	now := h.account.clock.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.phase, h.progressAt, h.windowStart, h.windowBytes, h.pausedAt = p, now, now, 0, time.Time{}
	if p == Answering {
		h.pausedAt = now
	}
	if p == Running && h.lost {
		h.lost = false
		h.account.leaving -= h.total
		h.account.leavingHolders--
	}
}

// Progress records that the connection received or took n bytes.
func (h *Holder) Progress(n int) {
	if h == nil {
		return
	}
	now := h.account.clock.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.roll(now)
	h.windowBytes += Bytes(n)
}

// BeginWrite records that bytes of an answer are ready for the caller. Only from here to
// EndWrite can a connection in the phase Answering be without progress: in the rest of
// the time it waits for its target.
func (h *Holder) BeginWrite() {
	if h == nil {
		return
	}
	now := h.account.clock.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.pausedAt.IsZero() {
		return
	}
	paused := now.Sub(h.pausedAt)
	h.progressAt, h.windowStart, h.pausedAt = h.progressAt.Add(paused), h.windowStart.Add(paused), time.Time{}
}

// EndWrite records that the caller took n bytes.
func (h *Holder) EndWrite(n int) {
	if h == nil {
		return
	}
	h.Progress(n)
	now := h.account.clock.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.phase == Answering {
		h.pausedAt = now
	}
}

// roll begins a new window if the current one has ended.
func (h *Holder) roll(now time.Time) {
	if now.Sub(h.windowStart) < window {
		return
	}
	if h.windowBytes >= minProgress {
		h.progressAt = h.windowStart.Add(window)
	}
	h.windowStart, h.windowBytes = now, 0
}

// stalled returns how long the connection has made no progress.
func (h *Holder) stalled(now time.Time) time.Duration {
	if !h.pausedAt.IsZero() {
		now = h.pausedAt
	}
	h.roll(now)
	if h.windowBytes >= minProgress {
		return 0
	}
	return max(0, now.Sub(h.progressAt))
}

// Evicted reports whether the holder has lost its memory.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.lost
}

// Reserve reserves n bytes before they are used. It fails with ErrFull if there is
// no room now, after it has evicted others if it may, and with ErrEvicted.
func (h *Holder) Reserve(k Kind, n Bytes) error {
	if h == nil || n <= 0 {
		return nil
	}
	a := h.account
	now := a.clock.Now()
	a.mu.Lock()
	victims, err := a.reserve(h, k, n, now)
	a.mu.Unlock()
	evictAll(victims)
	return err
}

// Release returns n bytes.
func (h *Holder) Release(k Kind, n Bytes) {
	if h == nil || n <= 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed { // Close has released all
		h.account.change(h, k, -min(n, h.held[k]))
	}
}

// change changes what a holder holds.
func (a *Account) change(h *Holder, k Kind, n Bytes) {
	h.held[k] += n
	h.total += n
	a.held += n
	a.byKind[k] += n
	if h.lost {
		a.leaving += n
	}
	if a.sources[h.source] += n; a.sources[h.source] == 0 {
		delete(a.sources, h.source)
	}
	if n < 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// reserve decides a reservation and returns the holders to evict.
func (a *Account) reserve(h *Holder, k Kind, n Bytes, now time.Time) ([]victim, error) {
	switch {
	case h.lost || h.closed:
		return nil, ErrEvicted
	case k == Streams && a.byKind[k]+n > a.capacity/streamsPart:
		return nil, ErrFull
	case a.held+n <= a.capacity:
		a.change(h, k, n)
		return nil, nil
	}
	var victims []victim
	for a.capacity-a.held+a.leaving < n {
		v := a.choose(h, now)
		if v == nil {
			break
		}
		victims = append(victims, a.evict(v))
	}
	if h.lost {
		return victims, ErrEvicted
	}
	return victims, ErrFull
}

// evict marks a holder as evicted.
func (a *Account) evict(h *Holder) victim {
	h.lost = true
	a.leaving += h.total
	a.leavingHolders++
	a.evicted[h.phase]++
	return victim{h, h.phase}
}

// evictAll tells holders that they are evicted.
func evictAll(victims []victim) {
	for _, v := range victims {
		v.holder.evict(v.phase)
	}
}

// victim is a holder that loses its memory, with its phase at that time.
type victim struct {
	holder *Holder
	phase  Phase
}

// Freed is Account.Freed of the holder's account.
func (h *Holder) Freed() <-chan struct{} { return h.account.Freed() }
