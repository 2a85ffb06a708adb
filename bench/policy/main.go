// Command policy compares the policies of core/placement with their baseline
// on simulated model engines. Time is simulated too: the same flags print the
// same table.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"slices"

	"github.com/spf13/cobra"
)

// gcPercent is the GC target of the command. The runs allocate much short-lived
// memory; with the default of 100, garbage collection took a fifth of the time.
const gcPercent = 800

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	p := plan{arrivalPeriod: arrivalPeriod}
	var csvFile, siteName string
	c := &cobra.Command{
		Use:          "policy",
		Short:        "Compare the placement policies with their baseline",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := p.applyFlags(siteName); err != nil {
				return err
			}
			return p.runAndPrint(c, csvFile)
		},
	}
	f := c.Flags()
	f.IntVar(&p.seeds, "seeds", 10, "number of seeds")
	f.StringVar(&csvFile, "csv", "", "file for the figures of each run (default none)")
	f.IntSliceVar(&p.loads, "load", []int{50, 85, 110}, "loads in percent of the engines' capacity")
	f.StringVar(&siteName, "site", "", "flagdesk or noix-vertes (default both)")
	return c
}

// applyFlags validates the flags and selects the sites.
func (p *plan) applyFlags(siteName string) error {
	if p.seeds < 1 || p.seeds > 1000 {
		return fmt.Errorf("--seeds is %d, must be between 1 and 1000", p.seeds)
	}
	for _, x := range p.loads {
		if x < 1 || x > 150 {
			return fmt.Errorf("--load has %d, must be between 1 and 150", x)
		}
	}
	p.sites = slices.DeleteFunc(slices.Clone(sites), func(s site) bool { return siteName != "" && s.name != siteName })
	if len(p.sites) == 0 {
		return fmt.Errorf("--site %q does not exist; the sites are flagdesk and noix-vertes", siteName)
	}
	return nil
}

// runAndPrint runs the plan, prints its tables and writes the CSV file, if one
// is named.
func (p *plan) runAndPrint(c *cobra.Command, csvFile string) error {
	debug.SetGCPercent(gcPercent)
	rows, err := p.runAll()
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	if err := writeTable(out, rows); err != nil {
		return fmt.Errorf("write the table of measures: %w", err)
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return fmt.Errorf("write the table of measures: %w", err)
	}
	if err := writeGoals(out, rows); err != nil {
		return fmt.Errorf("write the table of goals: %w", err)
	}
	if csvFile == "" {
		return nil
	}
	f, err := os.Create(csvFile)
	if err != nil {
		return fmt.Errorf("create the CSV file: %w", err)
	}
	if err := writeCSV(f, rows); err != nil {
		_ = f.Close()
		return fmt.Errorf("write the CSV file %s: %w", csvFile, err)
	}
	return f.Close()
}
