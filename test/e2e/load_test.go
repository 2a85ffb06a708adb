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

// loadOptions configures startLoad.
type loadOptions struct {
	chats    int        // programs of streamed chat calls
	payments int        // programs of non-idempotent calls
	owner    *entryHost // owner of the programs; nil means any
	// callTimeout bounds the time from the first attempt of a call to its answer.
	callTimeout time.Duration
	// chatsNeedNoRetry requires that the first attempt of each chat call succeeds.
	chatsNeedNoRetry bool
	// paymentsNeedNoRetry requires that the first attempt of each payment succeeds.
	paymentsNeedNoRetry bool
	// noNewPrograms sends all calls in the programs that startLoad created.
	noNewPrograms bool
	// tokens is the length of each chat answer; 0 means 16.
	tokens int
}

// load runs a set of programs, each of which sends one call after the other.
type load struct {
	*site
	options   loadOptions
	caller    *retryingCaller
	stop      chan struct{}
	wg        sync.WaitGroup
	completed atomic.Int64 // calls that have ended

	mu            sync.Mutex // guards the fields below
	failures      []string
	conversations []*conversation
	payments      map[string][]paymentAttempt // by body
	slowest       time.Duration
}

// paymentAttempt is the answer to one attempt of a payment.
type paymentAttempt struct {
	answer
	begin time.Time // of the first attempt
}

// maxCalls bounds the calls of one program and the batches of a rateSender.
const maxCalls = 5000

func (s *site) startLoad(caller *retryingCaller, o loadOptions) *load {
	s.t.Helper()
	if o.tokens == 0 {
		o.tokens = 16
	}
	l := &load{site: s, options: o, caller: caller, stop: make(chan struct{}), payments: map[string][]paymentAttempt{}}
	for i := range o.chats {
		c := &conversation{key: s.keys["main"], program: l.programID("chat", i)}
		l.conversations = append(l.conversations, c)
		l.wg.Go(func() { l.runConversation(c) })
	}
	for i := range o.payments {
		id := l.programID("payments", i)
		l.wg.Go(func() { l.runPayments(id) })
	}
	return l
}

func (l *load) programID(kind string, i int) string {
	if l.options.owner != nil {
		return l.programOwnedBy(l.options.owner, fmt.Sprintf("%s%d", kind, i))
	}
	return fmt.Sprintf("%s%d", kind, i)
}

// pauseUnlessStopped waits between two calls of a program. It returns false if the
// load was stopped.
func (l *load) pauseUnlessStopped() bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(20 * time.Millisecond):
		return true
	}
}

func (l *load) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *load) recordCompletion(begin time.Time) {
	l.completed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, time.Since(begin))
}

func (l *load) runConversation(c *conversation) {
	for i := 0; i < maxCalls && l.pauseUnlessStopped(); i++ {
		if i%20 == 19 && !l.options.noNewPrograms { // a new program, because each call makes the prompt longer
			l.mu.Lock()
			c = &conversation{key: c.key, program: fmt.Sprintf("%s.%d", c.program, i)}
			l.conversations = append(l.conversations, c)
			l.mu.Unlock()
		}
		begin := time.Now()
		all := l.caller.sendWithRetries(l.options.callTimeout, c.nextCall(fmt.Sprintf("turn %d [tokens:%d]", i, l.options.tokens)), nil)
		if l.options.chatsNeedNoRetry && len(all) > 0 && !all[0].complete {
			l.recordFailure("first attempt at call %d of %s: %v", c.lastCall, c.program, all[0])
		}
		if err := c.checkAndAppend(lastAnswer(all)); err != nil {
			l.recordFailure("%v, %v after its start; attempts: %v", err, time.Since(begin), all)
			return
		}
		l.recordCompletion(begin)
	}
}

func (l *load) runPayments(id string) {
	for n := 1; n < maxCalls && l.pauseUnlessStopped(); n++ {
		body := fmt.Sprintf("%s/%d", id, n)
		r := request{key: l.keys["main"], program: id, call: n, route: "pay/x", body: body}
		begin := time.Now()
		all := l.caller.sendWithRetries(l.options.callTimeout, r, nil)
		var list []paymentAttempt
		for _, a := range all {
			list = append(list, paymentAttempt{a, begin})
		}
		l.mu.Lock()
		l.payments[body] = list
		l.mu.Unlock()
		a := lastAnswer(all)
		switch {
		case a.complete && a.text != service.Answer("POST", "/x", body):
			l.recordFailure("%s got the answer of another call: %q", body, a.text)
		case l.options.paymentsNeedNoRetry && (len(all) != 1 || !a.complete):
			l.recordFailure("%s: attempts: %v", body, all)
		}
		l.recordCompletion(begin)
	}
}

func (l *load) completedCalls() int { return int(l.completed.Load()) }

// waitCalls waits until n more calls have ended, or one has failed.
func (l *load) waitCalls(n int, limit time.Duration) {
	l.t.Helper()
	begin := l.completedCalls()
	eventually(l.t, limit, fmt.Sprintf("%d more calls", n), func() bool { return l.completedCalls() >= begin+n || l.failed() })
}

func (l *load) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.failures) > 0
}

// maxPrintedFailures bounds the failures that are printed.
const maxPrintedFailures = 10

// stopAndCheck stops the load. It fails the test if a call failed, a payment
// arrived twice, or an answer contradicts the arrivals of its payment.
func (l *load) stopAndCheck() {
	l.t.Helper()
	close(l.stop)
	l.wg.Wait()
	l.checkPayments()
	l.t.Logf("%d calls, the slowest took %v", l.completedCalls(), l.slowest)
	for i, f := range l.failures {
		if i == maxPrintedFailures {
			l.t.Errorf("and %d more failures", len(l.failures)-i)
			break
		}
		l.t.Error(f)
	}
	if len(l.failures) > 0 {
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
			l.recordFailure("%s arrived %d times: %v", body, len(times), list)
		}
		for _, a := range list {
			if a.ran == model.RanNo && len(times) > 0 && times[0].Time.Before(a.endedAt) {
				l.recordFailure("%s arrived, but a later answer says that it did not run: %v", body, a.answer)
			}
			if a.complete && len(times) == 0 {
				l.recordFailure("%s was answered, but never arrived: %v", body, a.answer)
			}
		}
	}
}

// checkHistories verifies the history of every program at one host.
func (l *load) checkHistories(address string) {
	l.t.Helper()
	for _, c := range l.conversations {
		if c.lastCall > 0 {
			c.checkHistory(l.t, address)
		}
	}
}
