package cmd

import (
	"context"
	"io"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/entry"
	"mimosarelay/io/boottime"
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
func managed(ctx context.Context, logs io.Writer) error {
	boot, err := platform.LoadBoot()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(boot.Memory) * memoryShare))
	log := slog.New(slog.NewTextHandler(logs, nil))
	client, err := platform.NewStoreClient(boot.StoreAddress, storeTimeout)
	if err != nil {
		return err
	}
	defer client.Close()
	h := entry.New(entry.Options{
		Host: boot.Host, Zone: boot.Zone, PeerAddress: boot.PeerAddress,
		CallerAddress: boot.CallerAddress, ReadyAddress: boot.ReadyAddress, DirectoryAddress: boot.DirectoryAddress,
		Keyspace: client.Keyspace, Source: client, Dialect: platform.Dialect{},
		Directory: func(addresses func(string) []string, ttl time.Duration) fasthttp.RequestHandler {
			return platform.Directory{Addresses: addresses, TTL: min(ttl, boot.Bounds.DirectoryTTL)}.Handle
		},
		Readiness: func(ready func() (bool, string)) fasthttp.RequestHandler { return platform.Readiness(ready).Handle },
		Quotas:    boot.Quotas,
		Budgets:   boot.Programs,
		Keeper:    boot.CallerAddress == "",
		Lifetime:  boot.Bounds.Revoke - revokeMargin,
		Grace:     boot.Bounds.Grace,
		Clock:     boottime.New(), Log: log,
	})
	return h.Run(ctx)
}
