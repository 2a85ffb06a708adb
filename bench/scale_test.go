package bench

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mimosarelay/core/config"
	"mimosarelay/core/escrow"
	"mimosarelay/core/member"
	"mimosarelay/core/model"
)

// The planned scale of the fleet, from section 4 of docs/design.md.
const (
	hosts          = 340
	targets        = 600
	workspaces     = 740
	models         = 7
	regions        = 3
	zones          = 10
	plannedHolders = 7 // holders per workspace, from section 7.3 of docs/design.md
)

var (
	hostPoints      = []int{20, 85, 170, 340}
	workspacePoints = []int{46, 185, 370, 740}
)

func hostName(i int) model.HostID { return model.HostID(fmt.Sprintf("entry-host-%03d", i)) }

func workspaceName(i int) model.WorkspaceID {
	return model.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
}

func zoneName(i int) model.Zone {
	return model.Zone(fmt.Sprintf("region-%d-zone-%d", i%regions, i%zones))
}

func hostNames(n int) []model.HostID {
	out := make([]model.HostID, n)
	for i := range out {
		out[i] = hostName(i)
	}
	return out
}

func workspaceNames(n int) []model.WorkspaceID {
	out := make([]model.WorkspaceID, n)
	for i := range out {
		out[i] = workspaceName(i)
	}
	return out
}

// newMember returns host number i as a member, with a new incarnation.
func newMember(i int) member.Member {
	address := fmt.Sprintf("10.%d.%d.%d", i%zones, i/200, i%200+1)
	return member.Member{
		Host: hostName(i), Incarnation: model.Incarnation(uuid.NewString()), Zone: zoneName(i),
		CallerAddress: address + ":8080", PeerAddress: address + ":8081", HasDisk: i%zones == 0,
	}
}

// newRecord returns the membership record of n hosts after a number of past
// changes. In each change, a host joins again with a new incarnation. No epoch of
// these changes has been entered by all members.
func newRecord(tb testing.TB, n, past int) member.Record {
	r := member.Record{Epoch: 1000}
	for i := range n {
		r.Members = append(r.Members, newMember(i))
	}
	for i := range past {
		m := newMember(i % n)
		next, err := r.Join(m)
		assert.NilError(tb, err)
		r = next
	}
	return r
}

// holdings divides the shares of each of w workspaces among holderCount of n hosts
// and returns what host number host holds. If holderCount is less than n, the host
// holds shares of few workspaces.
func holdings(host, n, w, holderCount int) map[model.WorkspaceID]int64 {
	out := map[model.WorkspaceID]int64{}
	for i := range w {
		if holderCount >= n || (host-i*holderCount%n+n)%n < holderCount {
			part := escrow.FullShare / int64(min(n, holderCount))
			out[workspaceName(i)] = part
			out[escrow.BurstAccount(workspaceName(i))] = part
		}
	}
	return out
}

// newDocument returns a configuration document with a number of targets and w
// workspaces with two keys each. secret is the second key of the last workspace.
func newDocument(tb testing.TB, w, targets int) (d *config.Document, secret string) {
	d = &config.Document{Revision: 1}
	for i := range w {
		ws := config.Workspace{
			Name: workspaceName(i), Rate: 50, Burst: 100,
			Budget: config.Budget{Tokens: 5_000_000, Calls: 1000, Lifetime: 24 * 3600e9},
			Models: []model.ModelID{modelName(i)},
		}
		for k := range 2 {
			id := model.KeyID(fmt.Sprintf("key-%03d-%d", i, k))
			secret = config.NewKey(id)
			hash, err := config.HashKey(secret)
			assert.NilError(tb, err)
			ws.Keys = append(ws.Keys, config.Key{ID: id, Hash: hash})
		}
		d.Workspaces = append(d.Workspaces, ws)
	}
	for i := range targets {
		d.Targets = append(d.Targets, config.Target{
			Name: model.TargetID(fmt.Sprintf("engine-%03d", i)), Kind: config.Engine,
			Address: fmt.Sprintf("10.100.%d.%d:8000", i/200, i%200+1), Zone: zoneName(i),
			Models: []model.ModelID{modelName(i)}, MaxInFlight: 64, ChecksFencing: true,
		})
	}
	// A workspace may name only models that a target serves.
	for i := targets; i < models; i++ {
		t := d.Targets[0]
		t.Name = model.TargetID(fmt.Sprintf("engine-%03d", i))
		t.Models = []model.ModelID{modelName(i)}
		d.Targets = append(d.Targets, t)
	}
	return d, secret
}

func modelName(i int) model.ModelID { return model.ModelID(fmt.Sprintf("vendor/model-%d", i%models)) }
