package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The figures of the case replaced-keepers.
const (
	budgetPrograms  = 150
	tokensPerEvent  = 19 // of the manifest
	eventsPerTurn   = 14
	tokensPerTurn   = tokensPerEvent * eventsPerTurn
	turnsOfBudget   = 4
	programBudget   = turnsOfBudget * tokensPerTurn
	programPause    = 18 * time.Second // of a program between two turns, while its tools work
	otherPrograms   = 24               // that run one turn each, soon after the start and after each replacement
	otherDelay      = 4 * time.Second
	lossDelay       = 220 * time.Millisecond // from the start of the turns to the loss of a machine
	spareDelay      = 2 * time.Second        // from the loss to the start of the machine that replaces the lost one
	maxTurnsAttempt = 12                     // of a program, so that the case ends
)

// loopingProgram is a program that runs turns until its budget is spent.
type loopingProgram struct {
	id     string
	tokens int
	turns  int
	ended  bool // a turn was answered with 402
}

// turn runs one turn, with a retry after a promise that it has not run.
func (p *loopingProgram) turn(r *record, address string) {
	for range 3 {
		attempt := newAttempt()
		a := send(address, "POST", "/draft/1", attempt, key, 4*time.Second, []byte("prompt of "+p.id),
			"Model: m", fmt.Sprintf("Token-Usage: 1840,%d", tokensPerTurn), "Prompt-Prefix: 5c1e07a2:1840", "Program-Id: "+p.id, "Session-Id: "+p.id, "Finish-Ms: 60000", fmt.Sprintf("Token-Budget: %d", programBudget))
		p.tokens += a.events() * tokensPerEvent
		r.add("program %s: attempt %s got status %d, %d events, error %v, %d tokens so far", p.id, attempt, a.status, a.events(), a.err, p.tokens)
		switch {
		case a.status == 402:
			p.ended = true
			return
		case a.status == 200:
			p.turns++
			return
		case a.status != 503:
			return
		}
		time.Sleep(min(max(a.retryAfter, 50*time.Millisecond), time.Second))
	}
}

// turnOfAll runs one turn of each program that has not ended.
func turnOfAll(r *record, address string, programs []*loopingProgram) {
	var wg sync.WaitGroup
	for i, p := range programs {
		if p.ended {
			continue
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			p.turn(r, address)
		})
	}
	wg.Wait()
}

// replacedKeepers replaces two machines with a disk one after the other while programs
// pause between their turns. No program may get more tokens than its budget and those of
// one turn.
func replacedKeepers(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(2)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	for i, zone := range zones {
		s, err := newServer(r, fmt.Sprintf("i-engine%d", i))
		if err != nil {
			return false, err
		}
		s.firstEvent, s.eventGap, s.events = 5*time.Millisecond, 2*time.Millisecond, eventsPerTurn
		d.putServer(s.id, "model-pool", zone, s.address, 32)
	}
	d.putManifest(1, []string{key}, route{name: "draft", prefix: "/draft/", kind: "streaming", service: "model-pool", timeoutMS: 4000, maxAttempts: 1, resumable: true})
	if err := d.startAll(); err != nil {
		return false, err
	}
	address := d.entries[1].callers
	others := 0
	runOthers := func() {
		for range otherPrograms {
			others++
			p := &loopingProgram{id: fmt.Sprintf("%06x", 0xa00000+others*104729)}
			p.turn(r, address)
		}
	}
	runOthers()
	time.Sleep(programPause - otherDelay)
	var programs []*loopingProgram
	for i := range budgetPrograms {
		programs = append(programs, &loopingProgram{id: fmt.Sprintf("%06x", 0x3fa81c+i*7919)})
	}
	for i := range 2 {
		var turns sync.WaitGroup
		turns.Go(func() { turnOfAll(r, address, programs) })
		time.Sleep(lossDelay)
		old := d.keepers[i]
		if trouble {
			r.add("%s is gone for good", old.name)
			old.signal(syscall.SIGKILL)
		}
		if !trouble {
			turns.Wait()
			time.Sleep(programPause)
			continue
		}
		time.Sleep(spareDelay)
		spare, err := d.spareKeeper(old, i)
		if err != nil {
			return false, err
		}
		r.add("%s starts in its place", spare.name)
		if err := d.start(spare); err != nil {
			return false, err
		}
		turns.Wait()
		time.Sleep(otherDelay - spareDelay)
		runOthers()
		time.Sleep(programPause - otherDelay)
	}
	for range maxTurnsAttempt {
		turnOfAll(r, address, programs)
	}
	over := 0
	most := 0
	for _, p := range programs {
		most = max(most, p.tokens)
		if p.tokens > programBudget+tokensPerTurn {
			over++
			r.add("program %s got %d tokens", p.id, p.tokens)
		}
	}
	r.conclude("BUDGET: %d of %d programs got more than their Token-Budget of %d and the most of one turn, %d; the most is %d tokens", over, len(programs), programBudget, tokensPerTurn, most)
	return over > 0, nil
}
