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

// Prefixes of store keys under Platform.Prefix. Only keys under controlPrefix are
// watched. If the records of programs were watched too, each write of a record
// would wake every watcher.
const (
	controlPrefix = "control/"
	dataPrefix    = "data/"
)

// wire creates the clients, services and servers. Later steps use the results of
// earlier ones.
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
			Timeout: h.settings.Platform.Timeout, Token: token, LocalIP: h.sourceIP(h.settings.Platform.Address), Memory: h.memory,
		})
	}
	if h.controlStore, err = open(controlPrefix); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	if h.dataStore, err = open(dataPrefix); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	if h.rootStore, err = open(""); err != nil {
		return fmt.Errorf("settings section Platform: %w", err)
	}
	return nil
}

// sourceIP returns the source IP of this host's connections to an address: that
// of its peer port, by which firewalls and logs on the other side identify the
// host. It returns nil, which means any IP, if the peer port listens on all
// addresses or the address families differ.
func (h *Host) sourceIP(address string) net.IP {
	self, err := netip.ParseAddrPort(h.settings.Peer.Address)
	if err != nil || self.Addr().IsUnspecified() {
		return nil
	}
	remote, err := netip.ParseAddrPort(address)
	if err != nil || self.Addr().Is4() != remote.Addr().Is4() {
		return nil
	}
	return self.Addr().AsSlice()
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

// peerStreamIdleTimeout ends a forwarded call whose owner sends nothing any more.
// It is three times the longest interval between two messages of an owner.
const peerStreamIdleTimeout = 6 * time.Second

func (h *Host) wirePeers() error {
	o := peer.Options{StreamIdleTimeout: peerStreamIdleTimeout, LocalIP: h.sourceIP(h.settings.Peer.Advertise)}
	if h.settings.Peer.TLS.Enabled() {
		files, err := tlsfiles.Load(tlsfiles.Options{TLS: h.settings.Peer.TLS, Clock: h.clock, Log: h.log})
		if err != nil {
			return fmt.Errorf("settings Peer.TLS: %w", err)
		}
		o.TLSFor = files.Client
		h.listeners.peer = tls.NewListener(h.listeners.peer, files.Server())
	}
	refused := h.metrics.Scope.Counter("peer_connections_refused_for_memory")
	h.listeners.peer = peer.LimitMessages(h.listeners.peer, h.memory, func() {
		refused.Inc(1)
		h.refusedPeers.Add(1)
	})
	o.Memory = h.memory
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
		Store: h.controlStore, Clock: h.clock, Peers: h.peers, Self: h.self(),
		Holdings:       func(e model.Epoch) map[model.WorkspaceID]int64 { return h.limits.Holdings(e) },
		ConfigRevision: func() model.Revision { return h.contracts.Revision() },
		PeerRevision:   h.fetchNewerConfig,
		Log:            h.plainLog, Scope: h.metrics.Scope,
		LeaseTTL: h.settings.Limits.LeaseTTL,
	})
	h.contracts = contracts.New(contracts.Options{
		Host: h.settings.Host.Name, Store: h.rootStore, Peers: h.peers, PeerAddresses: h.peerAddresses,
		Confirmed: h.fleet.Confirmed, Clock: h.clock, Log: h.log,
	})
	h.limits = limits.New(limits.Options{
		Host: h.settings.Host.Name, Clock: h.clock, Store: h.controlStore, Peers: h.peers,
		MayAct: h.fleet.MayAct, LimitWait: h.settings.Limits.LimitWait,
	})
	h.suspects = suspects.New(suspects.Options{
		Host: h.settings.Host.Name, Self: h.settings.Peer.Advertise, Peers: suspectPeers{h.peers, h},
		Incarnation: func() model.Incarnation { return h.fleet.Self().Incarnation },
		Store:       h.rootStore, Clock: h.clock, Log: h.log,
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
		h.dataFolder, folder = f, f
	}
	h.programs = programs.New(programs.Options{
		Store: h.dataStore, Peers: programPeers{h.peers, h}, Clock: h.clock, MayAct: h.fleet.MayAct, Disk: folder,
		Budget: h.programBudget, Log: h.log, OrderWait: h.settings.Limits.OrderWait,
	})
	return nil
}

func (h *Host) programBudget(id model.WorkspaceID) program.Budget {
	workspace, ok := h.contracts.Current().Workspace(id)
	if !ok {
		return program.Budget{}
	}
	b := workspace.Budget
	return program.Budget{Tokens: b.Tokens, Calls: int(b.Calls), Lifetime: b.Lifetime}
}

func (h *Host) wireTargets() error {
	h.targets = target.NewClient(target.Options{})
	engines := orders.Client{Targets: h.targets, Memory: h.memory}
	policies, err := h.settings.Placement.Policies(h.settings.Host.Zone)
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
	h.calls = relay.NewCallRegistry()
	h.relay = relay.New(relay.Options{
		Contracts: h.contracts, Limiter: h.limits, Programs: h.programs, Owners: h.owners, Peers: h.peers,
		Placer: placer{h}, Suspects: h.suspects, Targets: h.targets, Clock: h.clock, Log: h.log,
		Scope: h.metrics.Scope, StreamIdle: h.settings.Limits.StreamIdle, Memory: h.memory,
	})
	tlsConfig, err := h.serverTLSConfig("Caller.TLS", h.settings.Caller.TLS)
	if err != nil {
		return err
	}
	h.callerServer = caller.New(caller.Options{
		Relay: h.relay, Streams: h.calls, Hosts: h.owners, Snapshot: h.contracts.Current, Ready: h.Ready, Serves: h.acceptsCalls, Log: h.log,
		Draining: h.draining.Load, TLS: tlsConfig, MaxBody: h.settings.Caller.MaxBody, WriteTimeout: h.settings.Caller.WriteTimeout,
		Memory: h.memory, Scope: h.metrics.Scope.SubScope("caller"),
	})
	return nil
}

func (h *Host) serverTLSConfig(section string, t settings.TLS) (*tls.Config, error) {
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
	tlsConfig, err := h.serverTLSConfig("Operator.TLS", h.settings.Operator.TLS)
	if err != nil {
		return err
	}
	h.operatorServer, err = operator.New(operator.Options{
		Backend: backend{h.contracts, h}, CredentialFile: h.settings.Operator.CredentialFile, TLS: tlsConfig,
		Metrics: h.metrics.Handler, Log: h.log, Memory: h.memory, Scope: h.metrics.Scope.SubScope("operator"),
	})
	return err
}

// subscribe registers the services for changes of the watched keys, the epoch and
// the configuration.
func (h *Host) subscribe() {
	h.fleet.Subscribe("Config", func(entries []store.Entry) { h.contracts.EntriesChanged(withControlPrefix(entries)) })
	h.fleet.Subscribe("Suspect/", func(entries []store.Entry) { h.suspects.EntriesChanged(withControlPrefix(entries)) })
	h.fleet.Subscribe(limits.EnterPrefix, h.limits.EntriesChanged)
	h.fleet.Subscribe(limits.SharesKey, h.limits.SharesChanged)
	h.fleet.OnEpoch(h.epochChanged)
	h.contracts.OnChange(func(_, current *config.Snapshot) {
		h.limits.ContractsChanged(current.Document())
		if n := h.calls.Enforce(current); n > 0 {
			h.log.Info("ended the streams of withdrawn keys", "streams", n, "revision", current.Revision())
		}
	})
}

// withControlPrefix returns entries of controlStore with the keys that they have
// in rootStore, through which the receiving services access these entries.
func withControlPrefix(entries []store.Entry) []store.Entry {
	list := make([]store.Entry, len(entries))
	for i, e := range entries {
		e.Key = controlPrefix + e.Key
		list[i] = e
	}
	return list
}
