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

// standinServer is a running stand-in.
type standinServer interface {
	Address() string
	ControlAddress() string
	Close() error
}

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system, for tests and demos",
		Long: "Run a stand-in of an outside system, for tests and demos.\n" +
			"PUT /standin/fault sets its faults. With --control they can also be set while the\n" +
			"stand-in is down or hanging.",
	}
	c.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return c
}

// runStandin prints the addresses of a stand-in and serves until SIGTERM, SIGINT or
// the end of the command's context. It returns err, the result of starting the
// stand-in, if it is not nil.
func runStandin(c *cobra.Command, s standinServer, err error) error {
	if err != nil {
		return err
	}
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	addresses := fmt.Sprintf("listening on %s\n", s.Address())
	if control := s.ControlAddress(); control != "" {
		addresses += fmt.Sprintf("control on %s\n", control)
	}
	if _, err := fmt.Fprint(c.OutOrStdout(), addresses); err != nil {
		_ = s.Close()
		return fmt.Errorf("failed to print the addresses of the stand-in: %w", err)
	}
	<-ctx.Done()
	return s.Close()
}

// addressFlags adds the address flags, which all stand-ins have.
func addressFlags(c *cobra.Command, listen, control *string) {
	f := c.Flags()
	f.StringVar(listen, "listen", "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port")
	f.StringVar(control, "control", "", "IP:port of a second listener for the /standin/ paths, which no fault affects")
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
	f.DurationVar(&o.HostLag, "host-lag", 0, "time until a registration appears in the host list")
	f.BoolVar(&o.LapseWhileDown, "lapse-while-down", false, "expire sessions also while the fault Down is set")
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
	f.StringSliceVar(&o.Models, "model", []string{engine.DefaultModel}, "models that are loaded at the start")
	f.DurationVar(&o.PromptTokenTime, "prompt-token-time", 0, "processing time per prompt token that is not cached")
	f.DurationVar(&o.OutputTokenTime, "output-token-time", 0, "generation time per output token")
	f.Float64Var(&o.Slowdown, "slowdown", 0, "fraction by which each additional running stream slows all streams")
	f.IntVar(&o.MaxRunning, "max-running", 0, "maximum number of streams in the batch (default 64)")
	f.IntVar(&o.BlockTokens, "block-tokens", 0, "tokens per cache block (default 16)")
	f.IntVar(&o.CacheBlocks, "cache-blocks", 0, "blocks in the cache (default 65536)")
	f.DurationVar(&o.Retain, "retain", 0, "time for which an interrupted or ended stream can be resumed (default 30s)")
	f.BoolVar(&o.NoResume, "no-resume", false, "cancel a stream when its connection breaks")
	f.DurationVar(&o.LoadLag, "load-lag", 0, "minimum age of load reports")
	f.DurationVar(&o.EventLag, "event-lag", 0, "delay until a cache event can be read")
	f.IntVar(&o.EventGapEvery, "event-gap-every", 0, "drop each cache event whose sequence number is a multiple of this (default none)")
	f.DurationVar(&o.OrderTime, "order-time", 0, "processing time of an order")
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
	f.IntVar(&o.AnswerBytes, "answer-bytes", 0, "minimum length of an answer")
	f.DurationVar(&o.LoadLag, "load-lag", 0, "delay until a change of the load is reported")
	return c
}
