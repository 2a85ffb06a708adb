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
	meanAddedTokens  = 500 // prompt tokens between two calls
	maxAddedTokens   = 4000
	meanOutputTokens = 180 // completion tokens
	maxOutputTokens  = 800
	minStepTokens    = 20
	meanToolTime     = 2 * time.Second
	maxToolTime      = 20 * time.Second
	meanServiceTime  = 300 * time.Millisecond
	maxServiceTime   = 3 * time.Second
	// systemTokens and systemStep size the system prompt that the programs of
	// a workspace share.
	baseSystemTokens = 1024
	systemTokensStep = 256
)

// step is one call to an engine and what the program does before its next one.
type step struct {
	addedTokens  model.Tokens // prompt tokens since the last response
	outputTokens model.Tokens
	toolTime     time.Duration // a tool of the caller
	serviceTime  time.Duration // above 0: a call to an application server takes so long
	subAgents    []*script     // sub-agents, all of which end before the next call
}

// script is a program with all sizes and times that do not depend on its
// placement.
type script struct {
	workspace    int
	id           uint64
	systemTokens model.Tokens
	startsAt     time.Duration
	steps        []step
}

func (s *script) name() model.ProgramID { return model.ProgramID(fmt.Sprintf("program-%x", s.id)) }

// generator draws the programs of one workspace.
type generator struct {
	random        *rand.Rand
	workspace     int
	serviceChance float64 // per call
	lastID        uint64
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

func (g *generator) newProgram() *script {
	n := minCalls + int(g.exponential(meanExtraCalls, 0, maxCalls-minCalls))
	return g.newScript(n, true)
}

func (g *generator) newScript(n int, root bool) *script {
	g.lastID++
	s := &script{
		workspace:    g.workspace,
		id:           uint64(g.workspace+1)<<32 | g.lastID,
		systemTokens: baseSystemTokens + systemTokensStep*model.Tokens(g.workspace),
	}
	for range n {
		x := step{
			addedTokens:  model.Tokens(g.exponential(meanAddedTokens, minStepTokens, maxAddedTokens)),
			outputTokens: model.Tokens(g.exponential(meanOutputTokens, minStepTokens, maxOutputTokens)),
		}
		switch draw := g.random.Float64(); {
		case root && draw < subAgentChance:
			for range 1 + g.random.IntN(maxSubAgents) {
				x.subAgents = append(x.subAgents, g.newScript(minCalls+g.random.IntN(maxSubAgentCalls-minCalls+1), false))
			}
		case draw < subAgentChance+g.serviceChance:
			x.serviceTime = time.Duration(g.exponential(float64(meanServiceTime), float64(time.Millisecond), float64(maxServiceTime)))
		default:
			x.toolTime = time.Duration(g.exponential(float64(meanToolTime), float64(time.Millisecond), float64(maxToolTime)))
		}
		s.steps = append(s.steps, x)
	}
	return s
}

// arrivals draws the programs that start within a time at a mean rate per
// second.
func (g *generator) arrivals(rate float64, window time.Duration) []*script {
	var scripts []*script
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= window {
			return scripts
		}
		s := g.newProgram()
		s.startsAt = at
		scripts = append(scripts, s)
	}
}

// work is the time that the calls of a program take of an engine whose batch
// is full, if each call finds the program's history in the cache.
func (s *script) engineTime() (total time.Duration, calls int) {
	for _, x := range s.steps {
		total += time.Duration(x.addedTokens)*prefillTime + time.Duration(x.outputTokens)*(iterationTime/maxInFlight+decodeTime)
		calls++
		for _, c := range x.subAgents {
			w, n := c.engineTime()
			total += w
			calls += n
		}
		if x.serviceTime > 0 {
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
		total += 2*callerLatency + time.Duration(x.addedTokens)*prefillTime + time.Duration(x.outputTokens)*(iterationTime+decodeTime)
		total += x.toolTime + x.serviceTime
		if x.serviceTime > 0 {
			total += 2 * callerLatency
		}
		longest := time.Duration(0)
		for _, c := range x.subAgents {
			longest = max(longest, c.ideal())
		}
		total += longest
	}
	return total
}
