package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/model"
)

func parseValid(t *testing.T) *Document {
	t.Helper()
	d, err := Parse([]byte(validDocument), "a.yaml")
	assert.NilError(t, err)
	return d
}

// documentWithKey returns a document in which the only key of workspace flagdesk
// is a new key with the id.
func documentWithKey(t *testing.T, id model.KeyID) (d *Document, key string) {
	t.Helper()
	d = parseValid(t)
	key = NewKey(id)
	h, err := HashKey(key)
	assert.NilError(t, err)
	d.Workspaces[0].Keys = []Key{{ID: id, Hash: h}}
	return d, key
}

// Guards against accepting a key that differs from the granted one, and against
// rejecting a key whose id contains an underscore, which is also the separator
// in the text of a key.
func TestAuthenticateAcceptsOnlyGrantedKey(t *testing.T) {
	d, key := documentWithKey(t, "day_shift")
	s := NewSnapshot(d)
	w, id, ok := s.Authenticate(key)
	assert.Assert(t, ok)
	assert.Equal(t, w, model.WorkspaceID("flagdesk"))
	assert.Equal(t, id, model.KeyID("day_shift"))
	for name, wrong := range map[string]string{
		"empty":          "",
		"prefix only":    "mr_",
		"id only":        "mr_day_shift_",
		"other secret":   NewKey("day_shift"),
		"other id":       strings.Replace(key, "day_shift", "day", 1),
		"longer":         key + "0",
		"shorter":        key[:len(key)-1],
		"without prefix": strings.TrimPrefix(key, "mr_"),
		"upper case":     strings.ToUpper(key),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, ok := s.Authenticate(wrong)
			assert.Assert(t, !ok)
		})
	}
}

func TestNewKeysAndHashesDiffer(t *testing.T) {
	key := NewKey("k")
	assert.Assert(t, key != NewKey("k"))
	a, err := HashKey(key)
	assert.NilError(t, err)
	b, err := HashKey(key)
	assert.NilError(t, err)
	assert.Assert(t, string(a) != string(b), "both hashes have the same salt")
	assert.Assert(t, Key{Hash: a}.Matches(key) && Key{Hash: b}.Matches(key))
	_, err = HashKey("secret")
	assert.ErrorContains(t, err, "malformed key")
}

// Guards against a withdrawn key that stays valid, and against a key that is
// valid for another workspace.
func TestKeyValidOnlyWhileGrantedToWorkspace(t *testing.T) {
	d, _ := documentWithKey(t, "k1")
	s := NewSnapshot(d)
	assert.Assert(t, s.KeyValid("flagdesk", "k1"))
	assert.Assert(t, !s.KeyValid("other", "k1"))
	d.Workspaces[0].Keys = nil
	assert.Assert(t, s.KeyValid("flagdesk", "k1"), "changing the source document changed the snapshot")
	assert.Assert(t, !NewSnapshot(d).KeyValid("flagdesk", "k1"))
}

func TestSnapshotFindsEntriesByName(t *testing.T) {
	s := NewSnapshot(parseValid(t))
	w, ok := s.Workspace("flagdesk")
	assert.Assert(t, ok && w.FairWeight() == 1 && w.MayUseModel("small") && !w.MayUseModel("large"))
	e, ok := s.Target("e1")
	assert.Assert(t, ok && e.Kind == Engine)
	r, ok := s.Route("pay")
	assert.Assert(t, ok && r.Allows("POST") && !r.Allows("GET"))
	_, ok = s.Route("none")
	assert.Assert(t, !ok)
}

// Guards against a diff that omits a change or reveals a hash.
func TestDiffListsChangesWithoutHashes(t *testing.T) {
	a, b := parseValid(t), parseValid(t)
	b.Revision = 9
	b.Workspaces[0].Rate = 25
	b.Workspaces[0].Keys = []Key{{ID: "k1", Hash: "sha256:11"}, {ID: "k2", Hash: zeroHash}}
	b.Targets[0], b.Targets[1] = b.Targets[1], b.Targets[0]
	b.Routes = nil
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"Workspaces[flagdesk].Keys[k1].Hash changed from (hidden) to (hidden)",
		"Workspaces[flagdesk].Keys[k2] added",
		"Workspaces[flagdesk].Rate changed from 20 to 25",
		"Routes[pay] removed",
	})
}

func ExampleDiff() {
	a := &Document{Workspaces: []Workspace{{Name: "flagdesk", Rate: 5}}}
	b := &Document{Workspaces: []Workspace{{Name: "flagdesk", Rate: 8}, {Name: "noix"}}}
	for _, c := range Diff(a, b) {
		fmt.Println(c)
	}
	// Output:
	// Workspaces[flagdesk].Rate changed from 5 to 8
	// Workspaces[noix] added
}
