package config

import (
	"fmt"
	"reflect"
	"slices"
)

// ChangeKind tells what happened to a field or a list element.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	// Field is a path such as "Workspaces[flagdesk].Rate", where list
	// elements are named by their Name or ID.
	Field string
	Kind  ChangeKind
	// Old and New are the values of a changed field.
	Old string `json:",omitempty"`
	New string `json:",omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Field, c.Kind)
	}
	return fmt.Sprintf("%s changed from %s to %s", c.Field, c.Old, c.New)
}

// Diff lists the differences between two documents, without revisions and
// hashes. The order of named list elements is no difference.
func Diff(old, current *Document) []Change {
	a, b := *old, *current
	a.Revision, b.Revision = 0, 0
	var d differ
	d.structs("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) structs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name, _ := tag(a.Type().Field(i))
		d.values(join(path, name), a.Field(i), b.Field(i))
	}
}

func (d *differ) values(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.structs(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.lists(path, a, b)
	default:
		d.leaves(path, a, b)
	}
}

// lists compares two lists whose elements have a Name or ID.
func (d *differ) lists(path string, a, b reflect.Value) {
	left, names := named(a)
	right, more := named(b)
	for _, n := range names {
		p := fmt.Sprintf("%s[%s]", path, n)
		if r, ok := right[n]; ok {
			d.structs(p, left[n], r)
		} else {
			d.changes = append(d.changes, Change{Field: p, Kind: Removed})
		}
	}
	for _, n := range more {
		if _, ok := left[n]; !ok {
			d.changes = append(d.changes, Change{Field: fmt.Sprintf("%s[%s]", path, n), Kind: Added})
		}
	}
}

// named indexes a list by the first field of its elements and returns the
// sorted names.
func named(list reflect.Value) (map[string]reflect.Value, []string) {
	m := map[string]reflect.Value{}
	var names []string
	for i := range list.Len() {
		n := list.Index(i).Field(0).String()
		m[n] = list.Index(i)
		names = append(names, n)
	}
	slices.Sort(names)
	return m, names
}

func (d *differ) leaves(path string, a, b reflect.Value) {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 || reflect.DeepEqual(a.Interface(), b.Interface()) {
		return
	}
	d.changes = append(d.changes, Change{Field: path, Kind: Changed, Old: fmt.Sprint(a.Interface()), New: fmt.Sprint(b.Interface())})
}
