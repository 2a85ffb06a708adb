package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// column is a column of the table.
type column struct {
	name   string
	format string
	value  func(m measures) float64
	sum    bool // show the sum over the seeds instead of mean and standard deviation
}

var columns = []column{
	{name: "mean s", format: "%.1f", value: func(m measures) float64 { return m.mean }},
	{name: "p95 s", format: "%.1f", value: func(m measures) float64 { return m.p95 }},
	{name: "recomputed kt", format: "%.0f", value: func(m measures) float64 { return m.recomputed }},
	{name: "worst slowdown", format: "%.2f", value: func(m measures) float64 { return m.worstSlowdown }},
	{name: "by others", format: "%.2f", value: func(m measures) float64 { return m.worstToOthers }},
	{name: "by calm", format: "%.2f", value: func(m measures) float64 { return m.worstToCalm }},
	{name: "refused", format: "%.0f", value: func(m measures) float64 { return m.refused }, sum: true},
	{name: "limited", format: "%.0f", value: func(m measures) float64 { return m.rateLimited }, sum: true},
	{name: "refused excess", format: "%.0f", value: func(m measures) float64 { return m.refusedExcess }, sum: true},
	{name: "busy", format: "%.2f", value: func(m measures) float64 { return m.busyFraction }},
}

// cellText formats the column of a row.
func (c column) cellText(x row) string {
	values := x.values(c.value)
	if c.sum {
		return fmt.Sprintf(c.format, average(values)*float64(len(values)))
	}
	return fmt.Sprintf(c.format+" ±"+c.format, average(values), deviation(values))
}

// writeTable prints one line for each setup: means and standard deviations over
// the seeds, and sums of refusals.
func writeTable(out io.Writer, rows []row) error {
	header := "site\tload\tcase\tpolicy"
	for _, c := range columns {
		header += "\t" + c.name
	}
	lines := []string{header}
	for _, x := range rows {
		s := x.setup
		line := fmt.Sprintf("%s\t%d\t%s\t%s", s.site.name, s.load, s.disturbance, s.policy.name)
		for _, c := range columns {
			line += "\t" + c.cellText(x)
		}
		lines = append(lines, line)
	}
	return writeAligned(out, lines)
}

// writeAligned prints lines of tab-separated fields in columns.
func writeAligned(out io.Writer, lines []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
		return err
	}
	return w.Flush()
}

// Goals of the policies: upper bounds of their measures.
const (
	goalLatency       = 0.5     // mean and 95th percentile of latency, as a fraction of the baseline's
	goalRecomputed    = 1.0 / 3 // recomputed tokens, as a fraction of the baseline's
	goalWorstSlowdown = 1.2     // highest slowdown of a workspace, as a multiple of that without disturbance
)

// writeGoals compares the policies with the baseline, seed by seed. "ideal" is
// the mean latency that the programs would have alone on idle engines that evict
// nothing.
func writeGoals(out io.Writer, rows []row) error {
	lines := []string{"site\tload\tcase\tideal by baseline\tmean by baseline\tp95 by baseline\trecomputed by baseline\tworst by calm\trefused\tgoals"}
	for _, x := range rows {
		if x.setup.policy.name != policiesName {
			continue
		}
		base := rows[slices.IndexFunc(rows, func(y row) bool {
			return y.setup.site.name == x.setup.site.name && y.setup.load == x.setup.load &&
				y.setup.disturbance == x.setup.disturbance && y.setup.policy.name == baselineName
		})]
		ratio := func(f func(m measures) float64) []float64 {
			ratios := x.values(f)
			for i, b := range base.values(f) {
				ratios[i] /= b
			}
			return ratios
		}
		ideal := base.values(func(m measures) float64 { return m.ideal / m.mean })
		latency, p95 := ratio(columns[0].value), ratio(columns[1].value)
		recomputed, worst := ratio(columns[2].value), x.values(columns[5].value)
		refused := average(x.values(columns[6].value)) * float64(len(x.measures))
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%s", x.setup.site.name, x.setup.load, x.setup.disturbance,
			formatRange(ideal), formatRange(latency), formatRange(p95), formatRange(recomputed), formatRange(worst), refused,
			goalSummary(x.setup, average(latency), average(p95), average(recomputed), average(worst), refused)))
	}
	return writeAligned(out, lines)
}

// formatRange formats the mean, the lowest and the highest value.
func formatRange(values []float64) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", average(values), slices.Min(values), slices.Max(values))
}

// goalSummary returns "met" or the names of the missed goals. The latency goals
// apply at goalLoad only. A NaN misses its goal.
func goalSummary(s setup, latency, p95, recomputed, worst, refused float64) string {
	missed := ""
	check := func(failed bool, name string) {
		if failed {
			missed += " " + name
		}
	}
	check(s.load == goalLoad && !(latency <= goalLatency), "mean")
	check(s.load == goalLoad && !(p95 <= goalLatency), "p95")
	check(!(recomputed <= goalRecomputed), "recomputed")
	check(s.disturbance == rateExceeded && !(worst <= goalWorstSlowdown), "worst")
	check(refused > 0, "refused")
	if missed == "" {
		return "met"
	}
	return "missed:" + missed
}

// writeCSV writes the measures of each run as one line.
func writeCSV(out io.Writer, rows []row) error {
	w := csv.NewWriter(out)
	header := []string{"site", "load", "case", "policy", "seed"}
	for _, c := range columns {
		header = append(header, c.name)
	}
	lines := [][]string{header}
	for _, x := range rows {
		for i, m := range x.measures {
			s := x.setup
			line := []string{s.site.name, strconv.Itoa(s.load), string(s.disturbance), s.policy.name, strconv.Itoa(i + 1)}
			for _, c := range columns {
				line = append(line, strconv.FormatFloat(c.value(m), 'g', -1, 64))
			}
			lines = append(lines, line)
		}
	}
	return w.WriteAll(lines) // flushes
}
