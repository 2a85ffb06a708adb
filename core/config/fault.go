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
	// empty for syntax errors.
	Field string
	// Problem describes what is wrong and what is allowed.
	Problem string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults holds all errors of a file, sorted by line.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Error()
	}
	return strings.Join(lines, "\n")
}

// Report collects the faults of one file.
type Report struct {
	file string
	// lines maps the path of each field in the file to its line.
	lines map[string]int
	// faulty holds the paths of the fields that have a fault.
	faulty map[string]bool
	faults Faults
}

// Addf records a fault of a field, unless the field or one that contains it
// already has a fault.
func (r *Report) Addf(field, format string, args ...any) {
	for p := field; p != ""; p = parentPath(p) {
		if r.faulty[p] {
			return
		}
	}
	r.faulty[field] = true
	r.addFault(r.lineOf(field), field, fmt.Sprintf(format, args...))
}

// HasFault reports whether the field or a field inside it has a fault.
func (r *Report) HasFault(field string) bool {
	for p := range r.faulty {
		if p == field || strings.HasPrefix(p, field+".") || strings.HasPrefix(p, field+"[") {
			return true
		}
	}
	return false
}

// maxFaults limits the number of faults that Err lists, so that the response to
// a file of the wrong kind stays small. Err only counts further faults.
const maxFaults = 1000

// Err returns the collected faults as Faults, or nil if there are none.
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

func (r *Report) addFault(line int, field, problem string) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Field: field, Problem: problem})
}

// lineOf returns the line of the field, or of the innermost field around it that
// is in the file.
func (r *Report) lineOf(field string) int {
	for p := field; p != ""; p = parentPath(p) {
		if n, ok := r.lines[p]; ok {
			return n
		}
	}
	return 1
}

// parentPath removes the last element of a field path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
