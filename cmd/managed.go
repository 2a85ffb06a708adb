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
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/entry"
	"mimosarelay/io/boottime"
	"mimosarelay/io/logsink"
	"mimosarelay/platform"
)

const (
	// memoryShare is the part of the process's memory that the garbage collector
	// aims at; the rest is for buffers of the kernel and the C library.
	memoryShare = 0.7
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = time.Second
	// revokeMargin is the part of the time to withdraw a key that is kept for
	// the clocks of two machines.
	revokeMargin = 400 * time.Millisecond
)

// managed runs one host with settings from the platform it is deployed on.
func managed(ctx context.Context, logs io.Writer) (failed error) {
	boot, err := platform.LoadBoot()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(boot.Memory) * memoryShare))
	sink := logsink.New(logs, logsink.Options{})
	defer sink.Close()
	log := slog.New(slog.NewTextHandler(sink, nil))
	defer watchSettings(boot, log)()
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
		Readiness:   func(ready func() (bool, string)) fasthttp.RequestHandler { return platform.Readiness(ready).Handle },
		Evacuations: client,
		Quotas:      boot.Quotas,
		Budgets:     boot.Programs,
		Keeper:      boot.CallerAddress == "",
		Lifetime:    boot.Bounds.Revoke - revokeMargin,
		Grace:       boot.Bounds.Grace,
		Clock:       boottime.New(), Log: log,
	}
	if options.Keeper && boot.DataDir != "" {
		if disk, err := entry.OpenDisk(boot.DataDir); err != nil {
			// A host without its disk still counts programs; another one has copies.
			log.Error("data folder not used", "folder", boot.DataDir, "error", err)
		} else {
			defer func() { failed = errors.Join(failed, disk.Close()) }()
			options.Disk = disk
		}
	}
	return entry.New(options).Run(ctx)
}

// watchSettings reads the settings again on SIGHUP and logs what has changed.
// Addresses and bounds of a running host stay as they are: callers have its
// addresses, and a changed bound holds for the next start.
func watchSettings(boot platform.Boot, log *slog.Logger) (stop func()) {
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
				log.Error("settings not read again, the present ones stay", "error", err)
				continue
			}
			log.Info("settings read again", "changed", next != boot, "settings", fmt.Sprintf("%+v", next))
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
