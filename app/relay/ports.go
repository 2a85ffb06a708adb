package relay

import (
	"context"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/programs"
	"mimosarelay/app/suspects"
	"mimosarelay/core/config"
	"mimosarelay/core/model"
	"mimosarelay/core/placement"
	"mimosarelay/core/program"
	"mimosarelay/io/peer/peerpb"
)

// Contracts gives the current configuration.
type Contracts interface {
	Current() *config.Snapshot
}

// Limiter admits requests against the rate and burst of a workspace.
type Limiter interface {
	Admit(ctx context.Context, workspace model.WorkspaceID) error
}

// Programs orders, deduplicates, budgets and records calls.
type Programs interface {
	Begin(ctx context.Context, spec programs.CallSpec) (programs.Decision, error)
	State(key model.ProgramKey) (programs.State, error)
	History(key model.ProgramKey) ([]program.Turn, error)
	Outcome(key model.ProgramKey, call model.CallNumber) (programs.Outcome, error)
	End(ctx context.Context, key model.ProgramKey) error
}

// Rights tells whether this host may act.
type Rights interface {
	// MayAct says whether this host holds the right to act now.
	MayAct() bool
}

// Owners finds the host that runs the calls of a shard.
type Owners interface {
	Rights
	// Owner returns the peer address of the owner, and whether it is this
	// host. It fails with model.ErrUnavailable if there is none.
	Owner(shard model.Shard) (address string, self bool, err error)
	// ActsFor says whether this host may run calls of a shard now.
	ActsFor(shard model.Shard) bool
	// Changed is closed when the membership changes.
	Changed() <-chan struct{}
}

// Peers forwards calls to other hosts.
type Peers interface {
	Call(ctx context.Context, address string, request *peerpb.CallRequest) (peerpb.DRPCPeer_CallClient, error)
}

// Place is one call's right to run at a target.
type Place interface {
	Target() config.Target
	// Release ends the call's use of the target. It is called exactly once.
	Release(u placement.Usage)
}

// Placer bounds the calls in flight per target and chooses targets.
type Placer interface {
	// Acquire waits for a place. It fails with a *model.Refusal.
	Acquire(ctx context.Context, r placement.Request) (Place, error)
}

// Suspects knows requests that crash targets.
type Suspects interface {
	// Begin asks for the right to send one copy of a request to one target. It
	// fails with a *model.Refusal as not run.
	Begin(ctx context.Context, f model.Fingerprint) (*suspects.Run, error)
	// Check fails with a *model.Refusal if the request may not run anywhere.
	// alone means that it may run once more, without a second attempt.
	Check(f model.Fingerprint) (alone bool, err error)
	// Crashed records a crash and tells all peers before it returns.
	RecordCrash(ctx context.Context, f model.Fingerprint, target model.TargetID)
}

// Dialect writes and reads the fields that a deployment's targets use around
// a forwarded request.
type Dialect interface {
	// Encode adds the fields of one dispatch to a request.
	Encode(req *fasthttp.Request, f *Forward, d Dispatch)
	// Decode reads the fields of a response.
	Decode(resp *fasthttp.Response) Reply
}

// Turns bounds the tokens of each program.
type Turns interface {
	// Begin reserves the tokens of a turn. It fails with a *model.Refusal as
	// not run, of kind model.ErrBudget if the program's budget does not hold
	// them.
	Begin(ctx context.Context, key model.ProgramKey, t Turn) (TurnLease, error)
}

// TurnLease is the reservation of one turn.
type TurnLease interface {
	// End settles the turn with the tokens that it generated.
	End(used model.Tokens)
}

// LoadReports takes what targets tell of their load in responses.
type LoadReports interface {
	Report(id model.TargetID, running, waiting int)
}
