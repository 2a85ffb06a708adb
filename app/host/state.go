package host

import (
	"context"
	"errors"

	"mimosarelay/app/contracts"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// Status is the summary of the host's state for operators.
type Status struct {
	Host      model.HostID
	Zone      model.Zone
	Ready     bool
	Reason    string `json:",omitempty"` // why the host is not ready
	Draining  bool
	Calls     int
	Epoch     model.Epoch
	Settled   bool // whether all members have entered the epoch
	StoreAway bool
	Revision  model.Revision
	Members   []MemberStatus
}

// MemberStatus is one member as this host sees it.
type MemberStatus struct {
	member.Member
	Revision model.Revision // the latest revision that the member confirmed
}

// Status returns the summary of the host's state.
func (h *Host) Status() Status {
	ready, reason := h.Ready()
	view := h.fleet.View()
	s := Status{
		Host: h.settings.Host.Name, Zone: h.settings.Host.Zone, Ready: ready, Reason: reason,
		Draining: h.draining.Load(), Calls: h.calls.Count(), Epoch: view.Epoch, Settled: h.fleet.Settled(),
		StoreAway: h.fleet.StoreAway(), Revision: h.contracts.Revision(),
	}
	confirmed := h.fleet.Confirmed()
	for _, m := range view.Members {
		s.Members = append(s.Members, MemberStatus{Member: m, Revision: confirmed[m.Host]})
	}
	return s
}

// State is a dump of all services of the host for diagnosis.
type State struct {
	Status    Status
	Fleet     any
	Limits    any
	Programs  any
	Placement any
	Suspects  any
	Release   any
}

// State returns the dump. It contains neither keys nor the content of calls.
func (h *Host) State() State {
	return State{
		Status: h.Status(), Fleet: h.fleet.Dump(), Limits: h.limits.Dump(), Programs: h.programs.Dump(),
		Placement: h.placement.Dump(), Suspects: h.suspects.Dump(), Release: h.release.Dump(),
	}
}

// backend implements operator.Backend.
type backend struct {
	*contracts.Service
	host *Host
}

// Status implements operator.Backend.
func (b backend) Status(context.Context) (any, error) { return b.host.Status(), nil }

// Dump implements operator.Backend.
func (b backend) Dump(context.Context) (any, error) { return b.host.State(), nil }

// Drain implements operator.Backend.
func (b backend) Drain(context.Context) error {
	b.host.Drain()
	return nil
}

// DeclareGone implements operator.Backend.
func (b backend) DeclareGone(ctx context.Context, host model.HostID) error {
	return b.host.fleet.DeclareGone(ctx, host)
}

// LiftSuspect implements operator.Backend.
func (b backend) LiftSuspect(_ context.Context, f model.Fingerprint) error {
	b.host.suspects.Lift(f)
	return nil
}

// Ready implements operator.Backend.
func (b backend) Ready() error {
	if ok, reason := b.host.Ready(); !ok {
		return errors.New(reason)
	}
	return nil
}
