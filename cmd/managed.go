package cmd

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/entry"
	"mimosarelay/core/cold"
	"mimosarelay/core/memory"
	"mimosarelay/io/boottime"
	"mimosarelay/io/logsink"
	"mimosarelay/platform"
)

const (
	// storeTimeout limits one call to the store, which usually answers within
	// milliseconds.
	storeTimeout = time.Second
	// revokeMargin is subtracted from the time within which a withdrawn key must
	// stop working, to allow for the difference between the clocks of two machines.
	revokeMargin = 400 * time.Millisecond
	// configMargin is the same for the time within which a changed configuration
	// must be in force.
	configMargin = 100 * time.Millisecond
)

// runManaged runs a host with the settings of the platform on which it is deployed.
func runManaged(ctx context.Context, logs io.Writer, standby bool) (runErr error) {
	boot, err := platform.LoadBoot()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memory.Limit(memory.Bytes(boot.Memory))))
	sink := logsink.New(logs, logsink.Options{})
	defer sink.Close()
	log := slog.New(slog.NewTextHandler(sink, nil))
	defer logSettingsOnHangup(boot, log)()
	client, err := platform.NewStoreClient(boot.StoreAddress, storeTimeout)
	if err != nil {
		return err
	}
	defer client.Close()
	options := entry.Options{
		Host: boot.Host, Zone: boot.Zone, PeerAddress: boot.PeerAddress, MetricsAddress: boot.MetricsAddress,
		CallerAddress: boot.CallerAddress, ReadyAddress: boot.ReadyAddress, DirectoryAddress: boot.DirectoryAddress,
		Keyspace: client.Keyspace, Source: client, Decode: platform.DecodeConfiguration, Dialect: platform.Dialect{},
		Directory: func(addresses func() []string, ttl time.Duration) fasthttp.RequestHandler {
			return platform.Directory{Addresses: addresses, TTL: min(ttl, boot.Bounds.DirectoryTTL)}.Handle
		},
		Readiness:       func(ready func() (bool, string)) fasthttp.RequestHandler { return platform.Readiness(ready).Handle },
		Memory:          memory.Bytes(boot.Memory),
		SetStoreMemory:  client.SetMemory,
		Descriptors:     boot.Descriptors,
		Evacuations:     client,
		Cold:            cold.Bound{Over: cmp.Or(boot.Bounds.ColdOver, 1), Slack: boot.Bounds.ColdSlack},
		HealthProber:    platform.NewHealthProber,
		Quotas:          boot.Quotas,
		Budgets:         boot.Programs,
		Health:          boot.Health,
		Keeper:          boot.CallerAddress == "",
		Standby:         standby,
		Lifetime:        boot.Bounds.Revoke - revokeMargin,
		FinalRefusalAge: boot.Bounds.Config - configMargin,
		Grace:           boot.Bounds.Grace,
		TurnCapacity:    boot.DiskBytes,
		TurnCopies:      max(boot.ToleratedLosses, boot.ToleratedZones) + 1,
		Clock:           boottime.New(), Log: log,
	}
	if options.Keeper && boot.DataDir != "" {
		if disk, err := entry.OpenDisk(boot.DataDir); err != nil {
			// Without its disk the host still keeps the budgets of programs in
			// memory; another keeper has copies.
			log.Error("data folder not used", "folder", boot.DataDir, "error", err)
		} else {
			defer func() { runErr = errors.Join(runErr, disk.Close()) }()
			options.Disk = disk
		}
		if folder, err := entry.OpenTurns(boot.DataDir, options.Clock.Now()); err != nil {
			log.Error("turns of conversations are not kept on this disk", "folder", boot.DataDir, "error", err)
		} else {
			defer func() { runErr = errors.Join(runErr, folder.Close()) }()
			options.TurnFolder = folder
		}
	}
	return entry.New(options).Run(ctx)
}

// logSettingsOnHangup reads the settings again on SIGHUP and logs whether they have
// changed. They are not applied to the running host: callers know its addresses,
// and changed bounds take effect at the next start.
func logSettingsOnHangup(boot platform.Boot, log *slog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangups:
			}
			next, err := platform.LoadBoot()
			if err != nil {
				log.Error("failed to read the settings on SIGHUP, the running host is not affected", "error", err)
				continue
			}
			log.Info("read the settings on SIGHUP, changes take effect at the next start",
				"changed", next != boot, "settings", fmt.Sprintf("%+v", next))
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
