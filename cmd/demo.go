package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mimosarelay/app/host"
	"mimosarelay/app/settings"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/standin/engine"
	"mimosarelay/standin/platform"
	"mimosarelay/standin/service"
)

func newDemo() *cobra.Command {
	var once bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run two hosts with stand-ins on loopback and serve a request",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runDemo(ctx, c.OutOrStdout(), once)
		},
	}
	c.Flags().BoolVar(&once, "once", false, "stop after the first request")
	return c
}

// demo is a small fleet and the systems it depends on, in one process.
type demo struct {
	out        io.Writer
	folder     string
	platform   *platform.Server
	engines    []*engine.Server
	service    *service.Server
	hosts      []*host.Host
	addresses  []string // caller addresses of the hosts
	operator   string
	key        string
	hostErrors chan error
}

// readyTimeout limits the time to start the demo.
const readyTimeout = 20 * time.Second

func runDemo(ctx context.Context, out io.Writer, once bool) error {
	folder, err := os.MkdirTemp("", "mimosarelay-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &demo{out: out, folder: folder, hostErrors: make(chan error, demoHosts)}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.sendRequest(ctx); err != nil {
		return err
	}
	d.printUsage()
	if !once {
		<-ctx.Done()
	}
	return d.stop()
}

const demoHosts = 2

func (d *demo) start(ctx context.Context) error {
	if err := d.startStandins(); err != nil {
		return err
	}
	credential := filepath.Join(d.folder, "operator.credential")
	if err := os.WriteFile(credential, []byte(config.NewKey("operator")+"\n"), 0o600); err != nil {
		return err
	}
	for i := range demoHosts {
		if err := d.startHost(ctx, i, credential); err != nil {
			return err
		}
	}
	return d.applyConfiguration(ctx, credential)
}

func (d *demo) startStandins() error {
	var err error
	if d.platform, err = platform.Start(platform.Options{Listen: "127.0.0.1:0"}); err != nil {
		return err
	}
	for range 2 {
		e, err := engine.Start(engine.Options{
			Listen: "127.0.0.1:0", PromptTokenTime: 100 * time.Microsecond, OutputTokenTime: 5 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	d.service, err = service.Start(service.Options{Listen: "127.0.0.1:0"})
	return err
}

func (d *demo) startHost(ctx context.Context, i int, credential string) error {
	file := filepath.Join(d.folder, fmt.Sprintf("host-%d.yaml", i+1))
	address := func(port int) string { return fmt.Sprintf("127.0.0.%d:%d", i+1, port) }
	text := fmt.Sprintf("Host: {Name: host-%d, Zone: zone-%d}\nCaller: {Address: %q}\nOperator: {Address: %q, CredentialFile: %q}\nPeer: {Address: %q}\nPlatform: {Address: %q}\nLog: {Level: warn}\n",
		i+1, i+1, address(17000), address(17001), credential, address(17002), d.platform.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	h, err := host.New(host.Options{Settings: s, Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))})
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	d.addresses = append(d.addresses, address(17000))
	d.operator = address(17001)
	go func() { d.hostErrors <- h.Run(context.WithoutCancel(ctx)) }()
	return nil
}

// document creates a key and returns the configuration of the demo.
func (d *demo) document() (*config.Document, error) {
	d.key = config.NewKey("demo")
	hash, err := config.HashKey(d.key)
	if err != nil {
		return nil, err
	}
	doc := &config.Document{Workspaces: []config.Workspace{{
		Name: "demo", Keys: []config.Key{{ID: "demo", Hash: hash}}, Rate: 20, Burst: 40,
		Budget: config.Budget{Tokens: 100000, Calls: 100, Lifetime: time.Hour},
	}}}
	for i, e := range d.engines {
		doc.Targets = append(doc.Targets, config.Target{
			Name: model.TargetID(fmt.Sprintf("engine-%d", i+1)), Kind: config.Engine, Address: e.Address(),
			Zone: "zone-1", Models: []model.ModelID{engine.DefaultModel}, MaxInFlight: 16,
		})
	}
	doc.Targets = append(doc.Targets, config.Target{Name: "payments", Kind: config.Service, Address: d.service.Address(), Zone: "zone-1", MaxInFlight: 8})
	doc.Routes = []config.Route{{Name: "pay", Targets: []model.TargetID{"payments"}}}
	return doc, nil
}

// applyConfiguration applies the configuration when the hosts have formed a fleet,
// and waits until all hosts are ready.
func (d *demo) applyConfiguration(ctx context.Context, credential string) error {
	doc, err := d.document()
	if err != nil {
		return err
	}
	data, err := config.Marshal(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.waitForHosts(ctx, d.membershipSettled); err != nil {
		return err
	}
	file := filepath.Join(d.folder, "contracts.yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	apply := newRoot()
	apply.SetOut(d.out)
	apply.SetArgs([]string{"config", "apply", "--operator", d.operator, "--credential-file", credential, "--base", "0", file})
	if err := apply.ExecuteContext(ctx); err != nil {
		return fmt.Errorf("failed to apply the configuration of the demo: %w", err)
	}
	return d.waitForHosts(ctx, func(h *host.Host) bool { ok, _ := h.Ready(); return ok })
}

// membershipSettled reports whether a host has all hosts of the demo as members
// and all of them have entered its epoch.
func (d *demo) membershipSettled(h *host.Host) bool {
	s := h.Status()
	return len(s.Members) == demoHosts && s.Settled
}

// waitForHosts waits until ready returns true for every host. It fails if a host
// stops.
func (d *demo) waitForHosts(ctx context.Context, ready func(*host.Host) bool) error {
	for _, h := range d.hosts {
		for !ready(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo did not become ready: %w; status of a host: %+v", ctx.Err(), h.Status())
			case err := <-d.hostErrors:
				return errors.Join(errors.New("a host of the demo stopped"), err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// sendRequest sends a request as a caller and prints the answer.
func (d *demo) sendRequest(ctx context.Context) error {
	text, err := sendDemoRequest(ctx, d.addresses[0], d.key)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(d.out, "served a streamed answer: %s\n", text)
	return err
}

func (d *demo) printUsage() {
	_, _ = fmt.Fprintf(d.out, `
hosts for callers: %v
operator address:  %s (credential in %s)

try:
  curl -s http://%s/v1/hosts
  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -H 'Mimosarelay-Program: p1' -H 'Mimosarelay-Call: 1' \
    -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello"}]}'
  curl -s http://%s/v1/programs/p1 -H 'Authorization: Bearer %s'
  mimosarelay status --operator %s --credential-file %s/operator.credential

stop with Ctrl-C
`, d.addresses, d.operator, filepath.Join(d.folder, "operator.credential"), d.addresses[0], d.addresses[0], d.key,
		engine.DefaultModel, d.addresses[1], d.key, d.operator, d.folder)
}

func (d *demo) stop() error {
	var errs []error
	for _, h := range d.hosts {
		h.Drain()
	}
	for range d.hosts {
		errs = append(errs, <-d.hostErrors)
	}
	d.hosts = nil
	return errors.Join(errs...)
}

func (d *demo) close() {
	if len(d.hosts) > 0 {
		_ = d.stop()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	for _, e := range d.engines {
		_ = e.Close()
	}
	if d.service != nil {
		_ = d.service.Close()
	}
}
