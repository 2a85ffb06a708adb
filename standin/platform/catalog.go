package platform

import (
	"slices"
	"strings"
	"time"
)

// nodeName is the node that all sessions and services are registered on; the
// stand-in has a single agent.
const nodeName = "standin"

// Registration is the body of a service registration.
type Registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string // hosts set State to live or leaving
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

// catalog holds the services that readers see. Registrations are added to it
// after the configured lag.
type catalog struct {
	services map[string]*CatalogService // by service id
	indexes  map[string]uint64          // index of the last change, by service name
}

func newCatalog() catalog {
	return catalog{services: map[string]*CatalogService{}, indexes: map[string]uint64{}}
}

// watchKey returns the key under which blocking queries for a service are
// registered. A change of a KV key of the same name also notifies them, which
// is harmless because they compare the index before they respond.
func watchKey(name string) string { return "\x00catalog/" + name }

// applyAfter runs change with t.mu held: at once if lag is 0, otherwise in the
// background after lag.
func (t *tables) applyAfter(lag time.Duration, change func()) {
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

// register adds or replaces a service after lag.
func (t *tables) register(r Registration, lag time.Duration) {
	t.applyAfter(lag, func() {
		s := &CatalogService{
			ID: nodeName, Node: nodeName, Address: "127.0.0.1", Datacenter: "dc1",
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

// deregister removes a service after lag. An unknown id has no effect.
func (t *tables) deregister(id string, lag time.Duration) {
	t.applyAfter(lag, func() {
		old := t.catalog.services[id]
		if old == nil {
			return
		}
		delete(t.catalog.services, id)
		t.catalogChanged(old.ServiceName, t.nextIndex())
	})
}

// catalogChanged sets the index of a service and notifies its blocking queries.
// The caller holds t.mu.
func (t *tables) catalogChanged(name string, index uint64) {
	t.catalog.indexes[name] = index
	t.notifyWaiters(watchKey(name))
}

// services returns the instances of a service in order of their ids, and the
// index that a blocking query compares with.
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
