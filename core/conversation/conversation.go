// Package conversation holds the rules for turns of conversations that the fleet
// keeps for its callers: which keepers hold a turn, when it lapses and in which
// order the turns of a chain follow.
//
// A turn is written once, is never changed, and has a name that no other turn has.
// Copies of it cannot contradict each other, so that they need no agreement.
package conversation

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosarelay/core/model"
)

// Sentinel errors, tested with errors.Is.
var (
	// ErrNoTurn reports that a turn does not exist.
	ErrNoTurn = errors.New("no such turn")
	// ErrUncertain reports that a turn was not found, but that a disk which may hold
	// it did not answer.
	ErrUncertain = errors.New("turn not found, but not all disks that may hold it answered")
	// ErrTooFewCopies reports that a turn is not on as many disks as required.
	ErrTooFewCopies = errors.New("turn is not stored on enough disks")
)

// TurnKey names a turn. Different workspaces may use the same id.
type TurnKey struct {
	Workspace model.WorkspaceID
	ID        model.RequestID
}

// ChainID decides which keepers hold the turns of a conversation, so that one of them
// holds all of them. Branches of a conversation have the same ChainID.
type ChainID uint64

// NewChainID returns the ChainID of a conversation that a program begins.
func NewChainID(p model.ProgramKey) ChainID {
	return ChainID(xxhash.Sum64String(string(p.Workspace) + "\x00" + string(p.Program)))
}

// Turn is one kept turn. It must not be changed.
type Turn struct {
	TurnKey
	// Previous is the turn that this one continues; empty for the first one.
	Previous model.RequestID
	Chain    ChainID
	// Input is what the caller sent, and Output the data of each event of the
	// response, each followed by a line feed.
	Input, Output []byte
	EndedAt       time.Time
	// Retention is how long the turn is kept after EndedAt.
	Retention time.Duration
}

// lapseMargin is added to the retention of turns, because the clocks of hosts differ
// and a caller counts from when it received the end of the response.
const lapseMargin = 10 * time.Second

// LapsesAt returns the time after which the turn may be deleted unless a later turn
// continues it.
func (t *Turn) LapsesAt() time.Time { return t.EndedAt.Add(t.Retention + lapseMargin) }

// Disk is the disk of a keeper.
type Disk struct {
	Host        model.HostID
	Zone        model.Zone
	PeerAddress string
	// ID is random and changes when the disk loses its content.
	ID string
}

// PreferredDisks returns the disks in the order in which they should hold a chain:
// one disk of each zone first, by rendezvous hashing. The first disks hold it; the
// others replace those that cannot.
func PreferredDisks(c ChainID, disks []Disk) []Disk {
	type ranked struct {
		disk  Disk
		score uint64
		rank  int // number of preferred disks in the same zone
	}
	list := make([]ranked, 0, len(disks))
	for _, d := range disks {
		list = append(list, ranked{disk: d, score: diskScore(c, d.Host)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.disk.Host, b.disk.Host))
	})
	inZone := map[model.Zone]int{}
	for i := range list {
		list[i].rank = inZone[list[i].disk.Zone]
		inZone[list[i].disk.Zone]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Disk, 0, len(list))
	for _, x := range list {
		out = append(out, x.disk)
	}
	return out
}

// Holds reports whether a host is one of the first copies disks in the order of
// PreferredDisks.
func Holds(c ChainID, disks []Disk, copies int, host model.HostID) bool {
	preferred := PreferredDisks(c, disks)
	return slices.ContainsFunc(preferred[:min(copies, len(preferred))], func(d Disk) bool { return d.Host == host })
}

// diskScore returns the rendezvous score of a host for a chain. It depends on the
// host's name only, so that a host whose disk was replaced holds the same chains.
func diskScore(c ChainID, h model.HostID) uint64 {
	key := binary.BigEndian.AppendUint64(nil, uint64(c))
	return xxhash.Sum64(append(key, h...))
}
