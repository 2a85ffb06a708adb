package platform

import (
	"slices"
	"strings"
	"time"
)

// node is the name of the only agent of the stand-in.
const node = "standin"

// Registration is the body of a service registration.
type Registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string // State is live or leaving
}

// CatalogService is a registered service in the form of the Consul API.
type CatalogService struct {
	ID             string
	Node           string
	Address        string
	Datacenter     string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceTags    []string
	ServiceMeta    map[string]string
	CreateIndex    uint64
	ModifyIndex    uint64
}

// catalog is the host list as readers see it, behind the registrations by the
// configured lag.
type catalog struct {
	services map[string]*CatalogService // by id
	indexes  map[string]uint64          // of the last change, by name
}

func newCatalog() catalog {
	return catalog{services: map[string]*CatalogService{}, indexes: map[string]uint64{}}
}

// watchKey names a service for blocking queries. A key of the same name wakes
// them needlessly, which has no effect, because they compare the index.
func watchKey(name string) string { return "\x00catalog/" + name }

// after runs change now, or after lag without waiting.
func (t *tables) after(lag time.Duration, change func()) {
	locked := func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		change()
	}
	if lag <= 0 {
		locked()
		return
	}
	t.clock.AfterFunc(lag, locked)
}

func (t *tables) register(r Registration, lag time.Duration) {
	t.after(lag, func() {
		s := &CatalogService{
			ID: node, Node: node, Address: "127.0.0.1", Datacenter: "dc1",
			ServiceID: r.ID, ServiceName: r.Name, ServiceAddress: r.Address, ServicePort: r.Port,
			ServiceTags: r.Tags, ServiceMeta: r.Meta,
		}
		s.ModifyIndex = t.nextIndex()
		s.CreateIndex = s.ModifyIndex
		old := t.catalog.services[r.ID]
		if old != nil {
			s.CreateIndex = old.CreateIndex
		}
		if old != nil && old.ServiceName != r.Name {
			t.catalogChanged(old.ServiceName, s.ModifyIndex)
		}
		t.catalog.services[r.ID] = s
		t.catalogChanged(r.Name, s.ModifyIndex)
	})
}

func (t *tables) deregister(id string, lag time.Duration) {
	t.after(lag, func() {
		old := t.catalog.services[id]
		if old == nil {
			return
		}
		delete(t.catalog.services, id)
		t.catalogChanged(old.ServiceName, t.nextIndex())
	})
}

// catalogChanged wakes the watchers of a service. The caller holds t.mu.
func (t *tables) catalogChanged(name string, index uint64) {
	t.catalog.indexes[name] = index
	t.wake(watchKey(name))
}

func (t *tables) services(name string) ([]CatalogService, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []CatalogService{}
	for _, s := range t.catalog.services {
		if s.ServiceName == name {
			found = append(found, *s)
		}
	}
	slices.SortFunc(found, func(a, b CatalogService) int { return strings.Compare(a.ServiceID, b.ServiceID) })
	return found, max(t.catalog.indexes[name], 1)
}
