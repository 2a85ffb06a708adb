package config

import (
	"fmt"
	"reflect"
	"slices"
)

// ChangeKind is the way in which a field or a list element differs.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change describes one difference between two documents.
type Change struct {
	// Field is the path of the field or list element, such as
	// "Workspaces[flagdesk].Rate". List elements are identified by their Name or
	// ID.
	Field string
	Kind  ChangeKind
	// Old and New are the values of a changed field. They are empty for other
	// kinds.
	Old string `json:",omitempty"`
	New string `json:",omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Field, c.Kind)
	}
	return fmt.Sprintf("%s changed from %s to %s", c.Field, c.Old, c.New)
}

// Diff lists the differences between two documents, in the order of the fields.
// It ignores the revision and the order of list elements that have a Name or
// ID, and does not show the values of key hashes.
func Diff(old, current *Document) []Change {
	a, b := *old, *current
	a.Revision, b.Revision = 0, 0
	var d differ
	d.compareStructs("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

// differ compares values by reflection and collects their differences.
type differ struct{ changes []Change }

func (d *differ) compareStructs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		if name, _ := yamlTag(a.Type().Field(i)); name != notInFile {
			d.compare(joinPath(path, name), a.Field(i), b.Field(i))
		}
	}
}

func (d *differ) compare(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.compareStructs(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.compareLists(path, a, b)
	default:
		d.compareLeaf(path, a, b)
	}
}

// compareLists compares two lists whose elements are identified by their Name
// or ID.
func (d *differ) compareLists(path string, a, b reflect.Value) {
	left, leftNames := indexByName(a)
	right, rightNames := indexByName(b)
	for _, n := range leftNames {
		p := fmt.Sprintf("%s[%s]", path, n)
		if r, ok := right[n]; ok {
			d.compareStructs(p, left[n], r)
		} else {
			d.changes = append(d.changes, Change{Field: p, Kind: Removed})
		}
	}
	for _, n := range rightNames {
		if _, ok := left[n]; !ok {
			d.changes = append(d.changes, Change{Field: fmt.Sprintf("%s[%s]", path, n), Kind: Added})
		}
	}
}

// indexByName indexes a list by the first field of its elements, which is their
// Name or ID, and returns the sorted names.
func indexByName(list reflect.Value) (map[string]reflect.Value, []string) {
	byName := map[string]reflect.Value{}
	var names []string
	for i := range list.Len() {
		n := list.Index(i).Field(0).String()
		byName[n] = list.Index(i)
		names = append(names, n)
	}
	slices.Sort(names)
	return byName, names
}

func (d *differ) compareLeaf(path string, a, b reflect.Value) {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 || reflect.DeepEqual(a.Interface(), b.Interface()) {
		return
	}
	d.changes = append(d.changes, Change{Field: path, Kind: Changed, Old: fmt.Sprint(a.Interface()), New: fmt.Sprint(b.Interface())})
}
