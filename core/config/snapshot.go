package config

import (
	"net/http"
	"slices"
	"time"

	"mimosarelay/core/model"
)

// DefaultRouteTimeout is the timeout of calls to a route without a Timeout.
const DefaultRouteTimeout = 30 * time.Second

// FairWeight returns Weight, or 1 if none is set.
func (w Workspace) FairWeight() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}

// MayUseModel reports whether the workspace may use the model.
func (w Workspace) MayUseModel(m model.ModelID) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, m)
}

// MayUseRoute reports whether the workspace may use the route.
func (w Workspace) MayUseRoute(id model.RouteID) bool {
	return len(w.Routes) == 0 || slices.Contains(w.Routes, id)
}

// CallTimeout returns Timeout, or DefaultRouteTimeout if none is set.
func (t Route) CallTimeout() time.Duration {
	if t.Timeout == 0 {
		return DefaultRouteTimeout
	}
	return t.Timeout
}

// Allows reports whether the route accepts the HTTP method.
func (t Route) Allows(method string) bool {
	if len(t.Methods) == 0 {
		return method == http.MethodPost
	}
	return slices.Contains(t.Methods, method)
}

// Snapshot is an immutable document with indexes for lookups. It is safe for
// concurrent use.
type Snapshot struct {
	document   *Document
	workspaces map[model.WorkspaceID]*Workspace
	targets    map[model.TargetID]*Target
	routes     map[model.RouteID]*Route
	keys       map[model.KeyID]indexedKey
	models     map[model.ModelID]bool // models that an engine serves
}

type indexedKey struct {
	workspace model.WorkspaceID
	hash      *keyHash
}

// NewSnapshot indexes a copy of a document, which must be valid. A key with a
// malformed hash never authenticates.
func NewSnapshot(d *Document) *Snapshot {
	d = d.Clone()
	s := &Snapshot{
		document:   d,
		workspaces: make(map[model.WorkspaceID]*Workspace, len(d.Workspaces)),
		targets:    make(map[model.TargetID]*Target, len(d.Targets)),
		routes:     make(map[model.RouteID]*Route, len(d.Routes)),
		keys:       map[model.KeyID]indexedKey{},
		models:     map[model.ModelID]bool{},
	}
	for i := range d.Workspaces {
		s.addWorkspace(&d.Workspaces[i])
	}
	for i := range d.Targets {
		s.targets[d.Targets[i].Name] = &d.Targets[i]
		for _, m := range d.Targets[i].Models {
			s.models[m] = true
		}
	}
	for i := range d.Routes {
		s.routes[d.Routes[i].Name] = &d.Routes[i]
	}
	return s
}

func (s *Snapshot) addWorkspace(w *Workspace) {
	s.workspaces[w.Name] = w
	for _, k := range w.Keys {
		if h, err := parseHash(k.Hash); err == nil {
			s.keys[k.ID] = indexedKey{workspace: w.Name, hash: h}
		}
	}
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() model.Revision { return s.document.Revision }

// Serves reports whether an engine serves the model.
func (s *Snapshot) Serves(m model.ModelID) bool { return s.models[m] }

// Document returns the document, which must not be modified.
func (s *Snapshot) Document() *Document { return s.document }

// Authenticate returns the workspace and id of a key, and whether the key is
// valid. It compares with at most one stored hash, whatever the number of keys.
func (s *Snapshot) Authenticate(key string) (model.WorkspaceID, model.KeyID, bool) {
	id, ok := keyID(key)
	if !ok {
		id = opaqueID(key)
	}
	k, ok := s.keys[id]
	if !ok || !k.hash.matches(key) {
		return "", "", false
	}
	return k.workspace, id, true
}

// KeyValid reports whether the key with the id still belongs to the workspace.
func (s *Snapshot) KeyValid(w model.WorkspaceID, id model.KeyID) bool {
	k, ok := s.keys[id]
	return ok && k.workspace == w
}

// Workspace returns a workspace, whose slices must not be modified.
func (s *Snapshot) Workspace(id model.WorkspaceID) (Workspace, bool) {
	return lookup(s.workspaces, id)
}

// Target returns a target, whose slices must not be modified.
func (s *Snapshot) Target(id model.TargetID) (Target, bool) {
	return lookup(s.targets, id)
}

// Route returns a route, whose slices must not be modified.
func (s *Snapshot) Route(id model.RouteID) (Route, bool) {
	return lookup(s.routes, id)
}

func lookup[K comparable, V any](m map[K]*V, id K) (V, bool) {
	v, ok := m[id]
	if !ok {
		var zero V
		return zero, false
	}
	return *v, true
}

// Clone returns a deep copy of the document.
func (d *Document) Clone() *Document {
	c := *d
	c.Workspaces = slices.Clone(d.Workspaces)
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		w.Keys = slices.Clone(w.Keys)
		w.Models = slices.Clone(w.Models)
		w.Routes = slices.Clone(w.Routes)
	}
	c.Targets = slices.Clone(d.Targets)
	for i := range c.Targets {
		c.Targets[i].Models = slices.Clone(c.Targets[i].Models)
	}
	c.Routes = slices.Clone(d.Routes)
	for i := range c.Routes {
		c.Routes[i].Targets = slices.Clone(c.Routes[i].Targets)
		c.Routes[i].Methods = slices.Clone(c.Routes[i].Methods)
	}
	return &c
}
