package main

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/alitto/pond/v2"
)

// plan selects the runs to simulate.
type plan struct {
	sites         []site
	loads         []int // percent
	seeds         int
	arrivalPeriod time.Duration
}

// row is a row of the table: the measures of a setup for all seeds.
type row struct {
	setup    setup // of the first seed
	measures []measures
}

// values returns one measure for each seed.
func (r row) values(f func(m measures) float64) []float64 {
	values := make([]float64, 0, len(r.measures))
	for _, m := range r.measures {
		values = append(values, f(m))
	}
	return values
}

// setups lists the setups for the first seed, in the order of the table. Runs
// with a disturbance and ablations use goalLoad only, to keep the time for the
// whole table below a minute.
func (p plan) setups() []setup {
	var setups []setup
	for _, s := range p.sites {
		d := s.capacity()
		for _, load := range p.loads {
			for _, x := range disturbances {
				for _, y := range policies {
					if load != goalLoad && (x != calm || y.ablation) || x != calm && y.ablation {
						continue
					}
					setups = append(setups, setup{
						site: s, demand: d, load: load, disturbance: x, policy: y, seed: 1, arrivalPeriod: p.arrivalPeriod,
					})
				}
			}
		}
	}
	return setups
}

// runAll simulates all setups with all seeds, in parallel.
func (p plan) runAll() ([]row, error) {
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
				r, err := simulate(x)
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
	rows := make([]row, len(setups))
	for i, s := range setups {
		rows[i].setup = s
		base := calmSetupIndex(setups, s)
		for j := range p.seeds {
			rows[i].measures = append(rows[i].measures, s.measure(results[i][j], results[base][j]))
		}
	}
	return rows, nil
}

// calmSetupIndex returns the index of the undisturbed setup that s is compared
// with.
func calmSetupIndex(setups []setup, s setup) int {
	for i, x := range setups {
		if x.site.name == s.site.name && x.load == s.load && x.policy.name == s.policy.name && x.disturbance == calm {
			return i
		}
	}
	panic("no setup without disturbance to compare with") // setups lists one for each policy and load
}
