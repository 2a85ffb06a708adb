package main

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/alitto/pond/v2"
)

// plan selects the runs.
type plan struct {
	sites    []site
	loads    []int // percent
	seeds    int
	arrivals time.Duration
}

// cell holds the measures of a setup for all seeds.
type cell struct {
	setup    setup // of the first seed
	measures []measures
}

// column returns one measure of all seeds.
func (c cell) column(f func(m measures) float64) []float64 {
	list := make([]float64, 0, len(c.measures))
	for _, m := range c.measures {
		list = append(list, f(m))
	}
	return list
}

// setups lists the setups for the first seed, in the order of the table. The
// cases other than calm run at goalLoad only, to keep the table below a minute.
func (p plan) setups() []setup {
	var list []setup
	for _, s := range p.sites {
		d := s.capacity()
		for _, load := range p.loads {
			for _, x := range disturbances {
				for _, y := range policies {
					if load != goalLoad && (x != calm || y.partial) || x != calm && y.partial {
						continue
					}
					list = append(list, setup{
						site: s, demand: d, load: load, disturbance: x, policy: y, seed: 1, arrivals: p.arrivals,
					})
				}
			}
		}
	}
	return list
}

// play runs all setups with all seeds.
func (p plan) play() ([]cell, error) {
	setups := p.setups()
	results := make([][]result, len(setups))
	failures := make([]error, len(setups)*p.seeds)
	pool := pond.NewPool(runtime.GOMAXPROCS(0))
	for i, s := range setups {
		results[i] = make([]result, p.seeds)
		for j := range p.seeds {
			x := s
			x.seed = uint64(j + 1)
			pool.Submit(func() {
				r, err := play(x)
				if err != nil {
					err = fmt.Errorf("%s, load %d, %s, %s, seed %d: %w", x.site.name, x.load, x.disturbance, x.policy.name, x.seed, err)
				}
				results[i][j], failures[i*p.seeds+j] = r, err
			})
		}
	}
	pool.StopAndWait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	cells := make([]cell, len(setups))
	for i, s := range setups {
		cells[i].setup = s
		base := calmIndex(setups, s)
		for j := range p.seeds {
			cells[i].measures = append(cells[i].measures, s.measure(results[i][j], results[base][j]))
		}
	}
	return cells, nil
}

// calmIndex returns the calm setup to compare with.
func calmIndex(setups []setup, s setup) int {
	for i, x := range setups {
		if x.site.name == s.site.name && x.load == s.load && x.policy.name == s.policy.name && x.disturbance == calm {
			return i
		}
	}
	panic("no calm setup") // setups lists one for each policy and load
}
