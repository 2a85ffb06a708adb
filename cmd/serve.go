package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"mimosarelay/app/host"
	"mimosarelay/app/settings"
	"mimosarelay/core/memory"
	"mimosarelay/platform"
)

func newServe() *cobra.Command {
	var file string
	var standby bool
	c := &cobra.Command{
		Use:   "serve [--settings FILE]",
		Short: "Run one entry host",
		Long: "Run one entry host until SIGTERM or SIGINT, then shut down gracefully: the host leaves the\n" +
			"membership, accepts calls for a few seconds more and finishes all running calls.\n\n" +
			"Without --settings the host takes its settings from the platform that started the process.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := notifyShutdown(c.Context())
			defer stop()
			if file == "" && platform.Managed() {
				return runManaged(ctx, c.OutOrStdout(), standby)
			}
			return runHost(ctx, file, c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this host")
	c.Flags().BoolVar(&standby, "standby", false, "wait as a standby until the fleet needs this keeper (on a platform)")
	return c
}

// notifyShutdown returns a context that is cancelled on SIGTERM or SIGINT.
func notifyShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// runHost runs a host with the settings in a file.
func runHost(ctx context.Context, file string, logs io.Writer) error {
	if file == "" {
		return errors.New("flag --settings is missing, and no platform started this process")
	}
	s, err := settings.Load(file)
	if err != nil {
		return fmt.Errorf("failed to load the settings: %w", err)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memory.Limit(s.Memory.Bytes())))
	}
	log := slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: s.Log.SlogLevel()}))
	h, err := host.New(host.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
