//go:build linux

package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mimosarelay/core/model"
	"mimosarelay/standin/service"
)

// loadOptions describes the calls of startLoad.
type loadOptions struct {
	chats    int    // programs of streamed chat calls
	payments int    // programs of non-idempotent calls
	at       *entry // owner of the programs; nil means any
	// limit bounds the time from the first attempt of a call to its answer.
	limit time.Duration
	// first requires that the first attempt of each chat call succeeds.
	first bool
	// calm requires that the first attempt of each payment succeeds too.
	calm bool
	// sameProgram keeps all calls in the programs of the start.
	sameProgram bool
	// tokens is the length of answers; 0 means 16.
	tokens int
}

// load is a set of programs whose callers send one call after the other.
type load struct {
	*site
	o       loadOptions
	callers *callers
	stop    chan struct{}
	work    sync.WaitGroup
	done    atomic.Int64 // calls with a final answer

	mu            sync.Mutex // guards the fields below
	faults        []string
	conversations []*conversation
	payments      map[string][]attempt // by body
	slowest       time.Duration
}

// attempt is an answer to a payment.
type attempt struct {
	answer
	begin time.Time
}

// maxLoad bounds the calls of one program.
const maxLoad = 5000

func (s *site) startLoad(c *callers, o loadOptions) *load {
	s.t.Helper()
	if o.tokens == 0 {
		o.tokens = 16
	}
	l := &load{site: s, o: o, callers: c, stop: make(chan struct{}), payments: map[string][]attempt{}}
	for i := range o.chats {
		talk := &conversation{key: s.keys["main"], program: l.name("chat", i)}
		l.conversations = append(l.conversations, talk)
		l.work.Go(func() { l.talk(talk) })
	}
	for i := range o.payments {
		id := l.name("payments", i)
		l.work.Go(func() { l.pay(id) })
	}
	return l
}

func (l *load) name(kind string, i int) string {
	if l.o.at != nil {
		return l.programAt(l.o.at, fmt.Sprintf("%s%d", kind, i))
	}
	return fmt.Sprintf("%s%d", kind, i)
}

// pauseOrStop waits between two calls of a program.
func (l *load) pauseOrStop() bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(20 * time.Millisecond):
		return true
	}
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *load) finished(begin time.Time) {
	l.done.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, time.Since(begin))
}

func (l *load) talk(c *conversation) {
	for i := 0; i < maxLoad && l.pauseOrStop(); i++ {
		if i%20 == 19 && !l.o.sameProgram { // prompts of programs must not grow for ever
			l.mu.Lock()
			c = &conversation{key: c.key, program: fmt.Sprintf("%s.%d", c.program, i)}
			l.conversations = append(l.conversations, c)
			l.mu.Unlock()
		}
		begin := time.Now()
		all := l.callers.persist(l.o.limit, c.next(fmt.Sprintf("turn %d [tokens:%d]", i, l.o.tokens)), nil)
		if l.o.first && len(all) > 0 && !all[0].whole {
			l.fail("first attempt at call %d of %s: %v", c.calls, c.program, all[0])
		}
		if err := c.accept(last(all)); err != nil {
			l.fail("%v, %v after its start; attempts: %v", err, time.Since(begin), all)
			return
		}
		l.finished(begin)
	}
}

func (l *load) pay(id string) {
	for n := 1; n < maxLoad && l.pauseOrStop(); n++ {
		body := fmt.Sprintf("%s/%d", id, n)
		r := request{key: l.keys["main"], program: id, call: n, route: "pay/x", body: body}
		begin := time.Now()
		all := l.callers.persist(l.o.limit, r, nil)
		var list []attempt
		for _, a := range all {
			list = append(list, attempt{a, begin})
		}
		l.mu.Lock()
		l.payments[body] = list
		l.mu.Unlock()
		a := last(all)
		switch {
		case a.whole && a.text != service.Answer("POST", "/x", body):
			l.fail("%s got the answer of another call: %q", body, a.text)
		case l.o.calm && (len(all) != 1 || !a.whole):
			l.fail("%s: attempts: %v", body, all)
		}
		l.finished(begin)
	}
}

func (l *load) calls() int { return int(l.done.Load()) }

// waitCalls waits until n more calls have ended.
func (l *load) waitCalls(n int, limit time.Duration) {
	l.t.Helper()
	begin := l.calls()
	eventually(l.t, limit, fmt.Sprintf("%d more calls", n), func() bool { return l.calls() >= begin+n || l.failed() })
}

func (l *load) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.faults) > 0
}

// maxFaults bounds the faults that are printed.
const maxFaults = 10

// finish ends the load and fails the test if a call had a fault or a payment
// arrived although an answer had denied it, or twice.
func (l *load) finish() {
	l.t.Helper()
	close(l.stop)
	l.work.Wait()
	l.checkPayments()
	l.t.Logf("%d calls, the slowest took %v", l.calls(), l.slowest)
	for i, f := range l.faults {
		if i == maxFaults {
			l.t.Errorf("and %d more", len(l.faults)-i)
			break
		}
		l.t.Error(f)
	}
	if len(l.faults) > 0 {
		l.t.FailNow()
	}
}

func (l *load) checkPayments() {
	l.t.Helper()
	arrived := map[string][]service.Arrival{}
	for _, a := range l.arrivals() {
		arrived[a.Body] = append(arrived[a.Body], a)
	}
	for body, list := range l.payments {
		times := arrived[body]
		if len(times) > 1 {
			l.fail("%s arrived %d times: %v", body, len(times), list)
		}
		for _, a := range list {
			if a.ran == model.RanNo && len(times) > 0 && times[0].Time.Before(a.at) {
				l.fail("%s arrived, but a later answer says that it did not run: %v", body, a.answer)
			}
			if a.whole && len(times) == 0 {
				l.fail("%s was answered, but never arrived: %v", body, a.answer)
			}
		}
	}
}

// checkHistories compares the histories of all programs.
func (l *load) checkHistories(address string) {
	l.t.Helper()
	for _, c := range l.conversations {
		if c.calls > 0 {
			c.checkHistory(l.t, address)
		}
	}
}
