package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"mimosarelay/core/escrow"
	"mimosarelay/core/model"
	"mimosarelay/core/store"
)

// fullSettlement returns a settlement round that grants shares of all workspaces to
// all hosts, in amounts that differ slightly.
func fullSettlement(hosts, workspaces int) escrow.Shares {
	random := rand.New(rand.NewPCG(1, 2))
	round := escrow.Round{Grants: map[model.WorkspaceID]map[model.HostID]int64{}}
	for w := range workspaces {
		name := model.WorkspaceID(fmt.Sprintf("workspace-%03d", w))
		for _, account := range []model.WorkspaceID{name, escrow.BurstAccount(name)} {
			parts := map[model.HostID]int64{}
			for h := range hosts {
				parts[model.HostID(fmt.Sprintf("host-%03d", h))] = escrow.FullShare/int64(hosts) - random.Int64N(4)
			}
			round.Grants[account] = parts
		}
	}
	return escrow.Shares{Epoch: 7, Rounds: []escrow.Round{round}}
}

// Guards against a settlement record that is too large for the store: no host would
// get a share, and the settling host would retry forever.
func TestSharesOfLargeFleetFitInStore(t *testing.T) {
	for name, size := range map[string][2]int{"7 hosts, 8 workspaces": {7, 8}, "340 hosts, 740 workspaces": {340, 740}} {
		t.Run(name, func(t *testing.T) {
			shares := fullSettlement(size[0], size[1])
			value, err := EncodeShares(shares)
			assert.NilError(t, err)
			t.Logf("%d hosts, %d workspaces: %d bytes", size[0], size[1], len(value))
			assert.Assert(t, len(value) <= store.MaxValue)
			decoded, err := DecodeShares(value)
			assert.NilError(t, err)
			assert.Equal(t, decoded.Epoch, shares.Epoch)
			assert.Equal(t, len(decoded.Rounds[0].Grants), len(shares.Rounds[0].Grants))
			for account, parts := range shares.Rounds[0].Grants {
				for host, part := range parts {
					if decoded.Rounds[0].Grants[account][host] != part {
						t.Fatalf("account %s of %s: %d, want %d", account, host, decoded.Rounds[0].Grants[account][host], part)
					}
				}
			}
		})
	}
}

// Guards against damaged values that decode without an error.
func TestDecodeSharesRejectsDamagedValue(t *testing.T) {
	value, err := EncodeShares(fullSettlement(40, 40))
	assert.NilError(t, err)
	for name, damaged := range map[string][]byte{
		"empty": nil, "truncated": value[:len(value)/2], "not JSON": []byte("x"), "not a zstd frame after the magic number": append([]byte{0x28, 0xb5, 0x2f, 0xfd}, "nonsense"...),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeShares(damaged)
			assert.Assert(t, err != nil)
		})
	}
}
