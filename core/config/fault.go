package config

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a YAML file.
type Fault struct {
	File string
	// Line starts at 1.
	Line int
	// Field is the path of the field, such as "Workspaces[0].Rate". It is
	// empty for errors of syntax.
	Field string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults lists all errors of a file in the order of their lines.
type Faults []Fault

// Error implements error, with one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}

// Report collects the faults of one file and knows the lines of its fields.
type Report struct {
	file   string
	lines  map[string]int
	bad    map[string]bool
	faults Faults
}

// Addf records a fault of a field. A field that already has a fault, or lies
// in one that has, gets no second one.
func (r *Report) Addf(field, format string, args ...any) {
	for p := field; p != ""; p = parent(p) {
		if r.bad[p] {
			return
		}
	}
	r.bad[field] = true
	r.add(r.line(field), field, fmt.Sprintf(format, args...))
}

// Broken reports whether the field or a field below it has a fault.
func (r *Report) Broken(field string) bool {
	for p := range r.bad {
		if p == field || strings.HasPrefix(p, field+".") || strings.HasPrefix(p, field+"[") {
			return true
		}
	}
	return false
}

// maxFaults bounds the listed faults, so that the answer to a file of the
// wrong kind stays small. Those beyond it are counted.
const maxFaults = 1000

// Err returns the collected Faults, or nil if there are none.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	if n := len(r.faults); n > maxFaults {
		last := Fault{File: r.file, Line: r.faults[maxFaults].Line, Problem: fmt.Sprintf("%d further faults are not listed", n-maxFaults)}
		return append(r.faults[:maxFaults:maxFaults], last)
	}
	return r.faults
}

func (r *Report) add(line int, field, problem string) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Field: field, Problem: problem})
}

// line returns the line of the field or of the nearest field around it.
func (r *Report) line(field string) int {
	for p := field; p != ""; p = parent(p) {
		if n, ok := r.lines[p]; ok {
			return n
		}
	}
	return 1
}

// parent cuts the last element off a path of fields.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
