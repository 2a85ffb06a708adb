package cmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mimosarelay/app/host"
	"mimosarelay/app/settings"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one entry host",
		Long: "Run one entry host until SIGTERM or SIGINT, then shut down gracefully: the host leaves the\n" +
			"membership, accepts calls for a few seconds more and finishes all running calls.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return serve(ctx, file, c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this host")
	_ = c.MarkFlagRequired("settings")
	return c
}

func serve(ctx context.Context, file string, logs io.Writer) error {
	s, err := settings.Load(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log := slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: s.Log.SlogLevel()}))
	h, err := host.New(host.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
