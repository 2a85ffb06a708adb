package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosarelay/core/model"
)

// Shape of the programs.
const (
	minCalls         = 3
	maxCalls         = 40
	meanExtraCalls   = 9 // calls above minCalls
	maxSubAgentCalls = 8
	subAgentChance   = 0.06 // per call of a program
	maxSubAgents     = 3
	meanAdded        = 500 // prompt tokens between two calls
	maxAdded         = 4000
	meanOutput       = 180 // completion tokens
	maxOutput        = 800
	minTokens        = 20
	meanPause        = 2 * time.Second
	maxPause         = 20 * time.Second
	meanService      = 300 * time.Millisecond
	maxService       = 3 * time.Second
	// systemTokens and systemStep size the system prompt that the programs of
	// a workspace share.
	systemTokens = 1024
	systemStep   = 256
)

// step is one call to an engine and what the program does before its next one.
type step struct {
	added    model.Tokens // prompt tokens since the last response
	output   model.Tokens
	pause    time.Duration // a tool of the caller
	service  time.Duration // above 0: a call to an application server takes so long
	children []*script     // sub-agents, all of which end before the next call
}

// script is a program with all sizes and times that do not depend on its
// placement.
type script struct {
	workspace int
	id        uint64
	system    model.Tokens
	starts    time.Duration
	steps     []step
}

func (s *script) name() model.ProgramID { return model.ProgramID(fmt.Sprintf("program-%x", s.id)) }

// generator draws the programs of one workspace.
type generator struct {
	random        *rand.Rand
	workspace     int
	serviceChance float64 // per call
	next          uint64
}

func newGenerator(seed uint64, workspace int, serviceChance float64) *generator {
	return &generator{
		random:    rand.New(rand.NewPCG(seed, uint64(workspace))),
		workspace: workspace, serviceChance: serviceChance,
	}
}

// exponential draws a value with a mean, cut off at both ends.
func (g *generator) exponential(mean, low, high float64) float64 {
	return min(max(g.random.ExpFloat64()*mean, low), high)
}

func (g *generator) program() *script {
	n := minCalls + int(g.exponential(meanExtraCalls, 0, maxCalls-minCalls))
	return g.chain(n, true)
}

func (g *generator) chain(n int, root bool) *script {
	g.next++
	s := &script{
		workspace: g.workspace,
		id:        uint64(g.workspace+1)<<32 | g.next,
		system:    systemTokens + systemStep*model.Tokens(g.workspace),
	}
	for range n {
		x := step{
			added:  model.Tokens(g.exponential(meanAdded, minTokens, maxAdded)),
			output: model.Tokens(g.exponential(meanOutput, minTokens, maxOutput)),
		}
		switch draw := g.random.Float64(); {
		case root && draw < subAgentChance:
			for range 1 + g.random.IntN(maxSubAgents) {
				x.children = append(x.children, g.chain(minCalls+g.random.IntN(maxSubAgentCalls-minCalls+1), false))
			}
		case draw < subAgentChance+g.serviceChance:
			x.service = time.Duration(g.exponential(float64(meanService), float64(time.Millisecond), float64(maxService)))
		default:
			x.pause = time.Duration(g.exponential(float64(meanPause), float64(time.Millisecond), float64(maxPause)))
		}
		s.steps = append(s.steps, x)
	}
	return s
}

// arrivals draws the programs that start within a time at a mean rate per
// second.
func (g *generator) arrivals(rate float64, window time.Duration) []*script {
	var list []*script
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= window {
			return list
		}
		s := g.program()
		s.starts = at
		list = append(list, s)
	}
}

// work is the time that the calls of a program take of an engine whose batch
// is full, if each call finds the program's history in the cache.
func (s *script) work() (total time.Duration, calls int) {
	for _, x := range s.steps {
		total += time.Duration(x.added)*prefillTime + time.Duration(x.output)*(iterationTime/maxInFlight+sequenceTime)
		calls++
		for _, c := range x.children {
			w, n := c.work()
			total += w
			calls += n
		}
		if x.service > 0 {
			calls++
		}
	}
	return total, calls
}

// ideal is the latency of the program alone on idle engines with its history
// in the cache.
func (s *script) ideal() time.Duration {
	var total time.Duration
	for _, x := range s.steps {
		total += 2*callerLatency + time.Duration(x.added)*prefillTime + time.Duration(x.output)*(iterationTime+sequenceTime)
		total += x.pause + x.service
		if x.service > 0 {
			total += 2 * callerLatency
		}
		longest := time.Duration(0)
		for _, c := range x.children {
			longest = max(longest, c.ideal())
		}
		total += longest
	}
	return total
}
