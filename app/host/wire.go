package host

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"mimosarelay/app/contracts"
	"mimosarelay/app/fleet"
	"mimosarelay/app/limits"
	"mimosarelay/app/orders"
	"mimosarelay/app/placement"
	"mimosarelay/app/programs"
	"mimosarelay/app/relay"
	"mimosarelay/app/release"
	"mimosarelay/app/settings"
	"mimosarelay/app/suspects"
	"mimosarelay/core/config"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
	"mimosarelay/core/program"
	"mimosarelay/core/store"
	"mimosarelay/io/caller"
	"mimosarelay/io/consul"
	"mimosarelay/io/disk"
	"mimosarelay/io/operator"
	"mimosarelay/io/peer"
	"mimosarelay/io/target"
	"mimosarelay/io/tlsfiles"
)

// Prefixes of store keys under Platform.Prefix. Only the control keys are
// watched: each write of a record would wake every watcher.
const (
	controlPrefix = "control/"
	dataPrefix    = "data/"
)

func (h *Host) wire() error {
	for _, step := range []func() error{
		h.wirePlatform, h.wirePeers, h.wireFleet, h.wirePrograms, h.wireTargets, h.wireCallers, h.wireOperator,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	h.subscribe()
	return nil
}

func (h *Host) wirePlatform() error {
	token, err := readToken(h.settings.Platform.TokenFile)
	if err != nil {
		return err
	}
	open := func(suffix string) (*consul.Client, error) {
		return consul.New(consul.Options{
			Address: h.settings.Platform.Address, Prefix: h.settings.Platform.Prefix + suffix,
			Timeout: h.settings.Platform.Timeout, Token: token, LocalIP: h.localIP(h.settings.Platform.Address),
		})
	}
	if h.control, err = open(controlPrefix); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	if h.data, err = open(dataPrefix); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	if h.documents, err = open(""); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	return nil
}

// localIP is the source address of this host's connections to an address: that
// of its peer port, so that firewalls and logs on the other side name the host.
// nil means any, if the port listens on all addresses or the families differ.
func (h *Host) localIP(to string) net.IP {
	own, err := netip.ParseAddrPort(h.settings.Peer.Address)
	if err != nil || own.Addr().IsUnspecified() {
		return nil
	}
	other, err := netip.ParseAddrPort(to)
	if err != nil || own.Addr().Is4() != other.Addr().Is4() {
		return nil
	}
	return own.Addr().AsSlice()
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("settings Platform.TokenFile: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// peerStreamIdle ends a forwarded call whose owner went silent: three times the
// interval at which owners send something.
const peerStreamIdle = 6 * time.Second

func (h *Host) wirePeers() error {
	o := peer.Options{StreamIdleTimeout: peerStreamIdle, LocalIP: h.localIP(h.settings.Peer.Advertise)}
	if h.settings.Peer.TLS.Enabled() {
		files, err := tlsfiles.Load(tlsfiles.Options{TLS: h.settings.Peer.TLS, Clock: h.clock, Log: h.log})
		if err != nil {
			return fmt.Errorf("settings Peer.TLS: %w", err)
		}
		o.TLSFor = files.Client
		h.listeners.peer = tls.NewListener(h.listeners.peer, files.Server())
	}
	h.peers = peer.NewClient(o)
	return nil
}

func (h *Host) self() member.Member {
	return member.Member{
		Host: h.settings.Host.Name, Incarnation: h.incarnation, Zone: h.settings.Host.Zone,
		CallerAddress: h.settings.Caller.Advertise, PeerAddress: h.settings.Peer.Advertise,
		HasDisk: h.settings.Data.Folder != "",
	}
}

func (h *Host) wireFleet() error {
	h.owners = newOwners(h)
	h.fleet = fleet.New(fleet.Options{
		Store: h.control, Clock: h.clock, Peers: h.peers, Self: h.self(),
		Holdings:       func(e model.Epoch) map[model.WorkspaceID]int64 { return h.limits.Holdings(e) },
		ConfigRevision: func() model.Revision { return h.contracts.Revision() },
		PeerRevision:   h.peerRevision,
		Logger:         h.plainLog, Scope: h.metrics.Scope,
		LeaseTTL: h.settings.Limits.LeaseTTL,
	})
	h.contracts = contracts.New(contracts.Options{
		Host: h.settings.Host.Name, Store: h.documents, Peers: h.peers, PeerAddresses: h.peerAddresses,
		Confirmed: h.fleet.Confirmed, Clock: h.clock, Log: h.log,
	})
	h.limits = limits.New(limits.Options{
		Host: h.settings.Host.Name, Clock: h.clock, Store: h.control, Peers: h.peers,
		MayAct: h.fleet.MayAct, LimitWait: h.settings.Limits.LimitWait,
	})
	h.suspects = suspects.New(suspects.Options{
		Host: h.settings.Host.Name, Self: h.settings.Peer.Advertise, Peers: suspectPeers{h.peers, h},
		Incarnation: func() model.Incarnation { return h.fleet.Self().Incarnation },
		Store:       h.documents, Clock: h.clock, Log: h.log,
	})
	return nil
}

func (h *Host) wirePrograms() error {
	var folder programs.Disk
	if h.settings.Data.Folder != "" {
		f, err := disk.Open(h.settings.Data.Folder)
		if err != nil {
			return fmt.Errorf("settings Data.Folder: %w", err)
		}
		h.folder, folder = f, f
	}
	h.programs = programs.New(programs.Options{
		Store: h.data, Peers: recordPeers{h.peers, h}, Clock: h.clock, MayAct: h.fleet.MayAct, Disk: folder,
		Budget: h.budget, Log: h.log, OrderWait: h.settings.Limits.OrderWait,
	})
	return nil
}

func (h *Host) budget(id model.WorkspaceID) program.Budget {
	workspace, ok := h.contracts.Current().Workspace(id)
	if !ok {
		return program.Budget{}
	}
	b := workspace.Budget
	return program.Budget{Tokens: b.Tokens, Calls: int(b.Calls), Lifetime: b.Lifetime}
}

func (h *Host) wireTargets() error {
	h.targets = target.NewClient(target.Options{})
	engines := orders.Client{Targets: h.targets}
	policies, err := h.settings.Placement.Policies()
	if err != nil {
		return fmt.Errorf("settings section Placement: %w", err)
	}
	h.placement = placement.New(placement.Options{
		Host: h.settings.Host.Name, Hosts: h.liveHosts, Snapshot: h.contracts.Current,
		Loads: engines, Prober: h.targets, Lenders: lenders{h},
		Policy:    policies,
		QueueWait: h.settings.Limits.QueueWait, Clock: h.clock, Log: h.log,
	})
	h.release = release.New(release.Options{
		Host: h.settings.Host.Name, Engines: engines, Hosts: h.liveHosts, Snapshot: h.contracts.Current,
		Live: h.livePrograms, Clock: h.clock, Log: h.log,
	})
	h.programs.OnEnd(func(key model.ProgramKey) {
		h.release.ReleaseProgram(key)
		h.placement.EndProgram(key)
	})
	return nil
}

func (h *Host) wireCallers() error {
	h.streams = relay.NewCallRegistry()
	h.relay = relay.New(relay.Options{
		Contracts: h.contracts, Limiter: h.limits, Programs: h.programs, Owners: h.owners, Peers: h.peers,
		Placer: placer{h}, Suspects: h.suspects, Targets: h.targets, Clock: h.clock, Log: h.log,
		Scope: h.metrics.Scope, StreamIdle: h.settings.Limits.StreamIdle,
	})
	config, err := h.serverTLS("Caller.TLS", h.settings.Caller.TLS)
	if err != nil {
		return err
	}
	h.callerServer = caller.New(caller.Options{
		Relay: h.relay, Streams: h.streams, Hosts: h.owners, Snapshot: h.contracts.Current, Ready: h.Ready, Serves: h.serves, Log: h.log,
		Draining: h.draining.Load, TLS: config, MaxBody: h.settings.Caller.MaxBody, WriteTimeout: h.settings.Caller.WriteTimeout,
	})
	return nil
}

func (h *Host) serverTLS(section string, t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	files, err := tlsfiles.Load(tlsfiles.Options{TLS: t, Clock: h.clock, Log: h.log})
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", section, err)
	}
	return files.Server(), nil
}

func (h *Host) wireOperator() error {
	config, err := h.serverTLS("Operator.TLS", h.settings.Operator.TLS)
	if err != nil {
		return err
	}
	h.operatorServer, err = operator.New(operator.Options{
		Backend: backend{h.contracts, h}, CredentialFile: h.settings.Operator.CredentialFile, TLS: config,
		Metrics: h.metrics.Handler, Log: h.log,
	})
	return err
}

// subscribe connects the control watch and the membership to the services.
func (h *Host) subscribe() {
	h.fleet.Subscribe("Config", func(entries []store.Entry) { h.contracts.EntriesChanged(underControl(entries)) })
	h.fleet.Subscribe("Suspect/", func(entries []store.Entry) { h.suspects.EntriesChanged(underControl(entries)) })
	h.fleet.Subscribe(limits.EnterPrefix, h.limits.EntriesChanged)
	h.fleet.Subscribe(limits.SharesKey, h.limits.SharesChanged)
	h.fleet.OnEpoch(h.epochChanged)
	h.contracts.OnChange(func(_, current *config.Snapshot) {
		h.limits.ContractsChanged(current.Document())
		if n := h.streams.Enforce(current); n > 0 {
			h.log.Info("streams of withdrawn keys ended", "streams", n, "revision", current.Revision())
		}
	})
}

// underControl gives keys of the control store the names that services use
// which see the whole prefix.
func underControl(entries []store.Entry) []store.Entry {
	list := make([]store.Entry, len(entries))
	for i, e := range entries {
		e.Key = controlPrefix + e.Key
		list[i] = e
	}
	return list
}
