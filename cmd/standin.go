package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mimosarelay/standin/engine"
	"mimosarelay/standin/platform"
	"mimosarelay/standin/service"
)

// server is a running stand-in.
type server interface {
	Address() string
	ControlAddress() string
	Close() error
}

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system, for tests and demos",
		Long: "Run a stand-in of an outside system, for tests and demos.\n" +
			"Faults are switched by PUT /standin/fault. With --control they can be switched\n" +
			"while the stand-in is down or hanging.",
	}
	c.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return c
}

// runStandin serves until the context of the command ends, SIGTERM or SIGINT.
func runStandin(c *cobra.Command, s server, err error) error {
	if err != nil {
		return err
	}
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report := fmt.Sprintf("listening on %s\n", s.Address())
	if control := s.ControlAddress(); control != "" {
		report += fmt.Sprintf("control on %s\n", control)
	}
	if _, err := fmt.Fprint(c.OutOrStdout(), report); err != nil {
		_ = s.Close()
		return fmt.Errorf("report address: %w", err)
	}
	<-ctx.Done()
	return s.Close()
}

// addressFlags adds the flags that all stand-ins have.
func addressFlags(c *cobra.Command, listen, control *string) {
	f := c.Flags()
	f.StringVar(listen, "listen", "127.0.0.1:0", "IP:port to serve; port 0 picks a free one")
	f.StringVar(control, "control", "", "IP:port that serves the /standin/ paths through all faults")
}

func newStandinPlatform() *cobra.Command {
	var o platform.Options
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a store and host list with the Consul HTTP API",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := platform.Start(o)
			return runStandin(c, s, err)
		},
	}
	f := c.Flags()
	addressFlags(c, &o.Listen, &o.Control)
	f.DurationVar(&o.MinTTL, "min-ttl", 0, "shortest session TTL accepted (default 1s)")
	f.DurationVar(&o.HostLag, "host-lag", 0, "time until a registration shows in the host list")
	f.BoolVar(&o.LapseWhileDown, "lapse-while-down", false, "let sessions lapse while the fault Down is set")
	return c
}

func newStandinEngine() *cobra.Command {
	var o engine.Options
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine with OpenAI chat completions",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := engine.Start(o)
			return runStandin(c, s, err)
		},
	}
	f := c.Flags()
	addressFlags(c, &o.Listen, &o.Control)
	f.StringSliceVar(&o.Models, "model", []string{engine.DefaultModel}, "models loaded at the start")
	f.DurationVar(&o.PromptTokenTime, "prompt-token-time", 0, "time per prompt token that is not cached")
	f.DurationVar(&o.OutputTokenTime, "output-token-time", 0, "time per token of the answer")
	f.Float64Var(&o.Slowdown, "slowdown", 0, "share by which each further running stream slows all")
	f.IntVar(&o.MaxRunning, "max-running", 0, "streams in the batch (default 64)")
	f.IntVar(&o.BlockTokens, "block-tokens", 0, "tokens of a cache block (default 16)")
	f.IntVar(&o.CacheBlocks, "cache-blocks", 0, "blocks in the cache (default 65536)")
	f.DurationVar(&o.Retain, "retain", 0, "time that a stream can be resumed (default 30s)")
	f.BoolVar(&o.NoResume, "no-resume", false, "cancel a stream when its connection breaks")
	f.DurationVar(&o.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&o.EventLag, "event-lag", 0, "age at which cache events can be read")
	f.IntVar(&o.EventGapEvery, "event-gap-every", 0, "lose each cache event whose sequence is a multiple (default none)")
	f.DurationVar(&o.OrderTime, "order-time", 0, "time that an order takes")
	f.BoolVar(&o.NoFencing, "no-fencing", false, "accept orders with an old fencing token")
	return c
}

func newStandinService() *cobra.Command {
	var o service.Options
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a plain HTTP service that records its requests",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := service.Start(o)
			return runStandin(c, s, err)
		},
	}
	f := c.Flags()
	addressFlags(c, &o.Listen, &o.Control)
	f.DurationVar(&o.Delay, "delay", 0, "time before an answer")
	f.IntVar(&o.AnswerBytes, "answer-bytes", 0, "least length of an answer")
	f.DurationVar(&o.LoadLag, "load-lag", 0, "age of load reports")
	return c
}
