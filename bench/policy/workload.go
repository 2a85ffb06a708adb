package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosarelay/core/model"
)

// Distribution of the programs. All means are of exponential distributions whose
// values are clamped to the bounds.
const (
	minCalls         = 3
	maxCalls         = 40
	meanExtraCalls   = 9 // engine calls beyond minCalls
	maxSubAgentCalls = 8
	subAgentChance   = 0.06 // per call of a program
	maxSubAgents     = 3
	meanAddedTokens  = 500 // prompt tokens that a call adds to the history
	maxAddedTokens   = 4000
	meanOutputTokens = 180 // completion tokens
	maxOutputTokens  = 800
	minStepTokens    = 20
	meanToolTime     = 2 * time.Second
	maxToolTime      = 20 * time.Second
	meanServiceTime  = 300 * time.Millisecond
	maxServiceTime   = 3 * time.Second
	// The programs of a workspace share a system prompt of baseSystemTokens plus
	// systemTokensStep times the workspace's number.
	baseSystemTokens = 1024
	systemTokensStep = 256
)

// step is one call to an engine, followed by a tool, a call to an application
// server or sub-agents.
type step struct {
	addedTokens  model.Tokens // prompt tokens after the last response
	outputTokens model.Tokens
	toolTime     time.Duration // run time of a tool at the caller
	serviceTime  time.Duration // time that the application server takes; 0 for no call to one
	subAgents    []*script     // run at the same time; all end before the next step
}

// script holds the sizes and times of a program that do not depend on its
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

// exponential draws from an exponential distribution and clamps the value.
func (g *generator) exponential(mean, low, high float64) float64 {
	return min(max(g.random.ExpFloat64()*mean, low), high)
}

// newProgram draws a program.
func (g *generator) newProgram() *script {
	n := minCalls + int(g.exponential(meanExtraCalls, 0, maxCalls-minCalls))
	return g.newScript(n, true)
}

// newScript draws a program of n steps. Only a root has sub-agents.
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

// arrivals draws the programs that start within window, as a Poisson process
// with a mean rate per second.
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

// engineTime returns the engine time that the calls of a program use in full
// batches if each call finds the program's history in the cache, and the number
// of its calls.
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

// ideal returns the latency that the program would have alone on idle engines
// with its history in the cache.
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
