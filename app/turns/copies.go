package turns

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mimosarelay/core/model"
	"mimosarelay/core/turn"
	"mimosarelay/io/peer/peerpb"
)

// restoreCopies reads the copies that a previous process of this host saved to the
// disk.
func (o *Owner) restoreCopies() {
	if o.options.Disk == nil {
		return
	}
	err := o.options.Disk.Load(func(data []byte) error {
		m := &peerpb.BudgetPage{}
		if err := proto.Unmarshal(data, m); err != nil {
			return err
		}
		o.copies[model.HostID(m.GetHost())] = m
		return nil
	})
	if err != nil {
		o.options.Log.Error("failed to read the copies of budget records from the disk", "error", err)
	}
	o.sequence = o.copies[o.options.Host].GetSequence()
	o.options.Log.Info("restored the copies of budget records from the disk", "pages", len(o.copies))
}

// saveToDisk writes a page to the disk of this host, if it has one, and returns once
// the page is on the disk.
func (o *Owner) saveToDisk(m *peerpb.BudgetPage) error {
	if o.options.Disk == nil {
		return nil
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return o.options.Disk.Save(model.HostID(m.GetHost()), data)
}

// fetchCopies returns the copies that this host and the other keepers hold.
func (o *Owner) fetchCopies(ctx context.Context) ([]*peerpb.BudgetPage, error) {
	o.mu.Lock()
	pages := slices.Collect(maps.Values(o.copies))
	o.mu.Unlock()
	for _, k := range o.options.Keepers() {
		res, err := o.options.CopyClient.FetchBudgets(ctx, k.Address, &peerpb.FetchBudgetsRequest{})
		if err != nil {
			return nil, fmt.Errorf("fetch copies of budget records from peer %s: %w", k.Host, err)
		}
		pages = append(pages, res.GetPages()...)
	}
	return pages, nil
}

// copyDelay is how long a write to the store may take before the records are also
// copied to another keeper. The store normally responds within milliseconds.
const copyDelay = 60 * time.Millisecond

// copyIfStoreSlow copies the records to another keeper unless ctx ends within
// copyDelay, so that programs continue during an outage of the store. Both hosts save
// them to their disks, so that the records survive a restart of all processes. They
// are lost only if both disks are lost before the store responds again.
func (o *Owner) copyIfStoreSlow(ctx context.Context, sequence int64, value []byte, records []turn.Record) {
	select {
	case <-ctx.Done():
		return
	case <-o.options.Clock.After(copyDelay):
	}
	m := &peerpb.BudgetPage{Host: string(o.options.Host), Sequence: sequence, Value: value}
	if err := o.saveToDisk(m); err != nil {
		o.options.Log.Error("failed to write the budget records to the disk", "error", err)
		return
	}
	for _, k := range o.options.Keepers() {
		if _, err := o.options.CopyClient.KeepBudgets(ctx, k.Address, m); err != nil {
			o.options.Log.Warn("failed to copy the budget records to a peer", "peer", k.Host, "error", err)
			continue
		}
		o.mu.Lock()
		o.ownCopy = m
		o.ledger.MarkSaved(records)
		o.notifyWaiters()
		o.mu.Unlock()
		o.options.Log.Info("copied the budget records to a peer", "peer", k.Host, "sequence", sequence, "programs", len(records))
		return
	}
}

// HandleKeepBudgets serves the RPC KeepBudgets: it stores a copy of the page of
// another host.
func (o *Owner) HandleKeepBudgets(_ context.Context, m *peerpb.BudgetPage) (*peerpb.KeepBudgetsResponse, error) {
	o.copyMu.Lock()
	defer o.copyMu.Unlock()
	host := model.HostID(m.GetHost())
	o.mu.Lock()
	known := o.copies[host].GetSequence()
	o.mu.Unlock()
	if known >= m.GetSequence() {
		return &peerpb.KeepBudgetsResponse{}, nil // this or a newer page is stored already
	}
	if err := o.saveToDisk(m); err != nil {
		o.options.Log.Error("failed to write a copy of budget records to the disk", "peer", host, "error", err)
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.copies[host] = m
	return &peerpb.KeepBudgetsResponse{}, nil
}

// HandleFetchBudgets serves the RPC FetchBudgets: it returns the copies that this
// host holds and its own page, if a peer has a copy of that.
func (o *Owner) HandleFetchBudgets(context.Context, *peerpb.FetchBudgetsRequest) (*peerpb.FetchBudgetsResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	res := &peerpb.FetchBudgetsResponse{Pages: slices.Collect(maps.Values(o.copies))}
	if o.ownCopy != nil {
		res.Pages = append(res.Pages, o.ownCopy)
	}
	return res, nil
}
