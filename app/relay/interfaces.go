package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"mimosarelay/app/programs"
	"mimosarelay/app/suspects"
	"mimosarelay/core/config"
	"mimosarelay/core/conversation"
	"mimosarelay/core/health"
	"mimosarelay/core/model"
	"mimosarelay/core/pacing"
	"mimosarelay/core/placement"
	"mimosarelay/core/program"
	"mimosarelay/io/peer/peerpb"
)

// Contracts provides the current configuration.
type Contracts interface {
	Current() *config.Snapshot
}

// Limiter enforces the rate and burst of each workspace.
type Limiter interface {
	Admit(ctx context.Context, workspace model.WorkspaceID) error
}

// Programs orders and deduplicates the calls of each program, enforces its budget
// and records its calls.
type Programs interface {
	Begin(ctx context.Context, spec programs.CallSpec) (programs.Decision, error)
	State(key model.ProgramKey) (programs.State, error)
	History(key model.ProgramKey) ([]program.Turn, error)
	Outcome(key model.ProgramKey, call model.CallNumber) (programs.Outcome, error)
	End(ctx context.Context, key model.ProgramKey) error
}

// Rights reports whether this host may act.
type Rights interface {
	// MayAct reports whether this host holds the right to act now.
	MayAct() bool
}

// Owners locates the host that runs the calls of a shard.
type Owners interface {
	Rights
	// Owner returns the peer address of the owner, and whether the owner is
	// this host. It returns model.ErrUnavailable if the shard has no owner.
	Owner(shard model.Shard) (address string, self bool, err error)
	// ActsFor reports whether this host may run calls of a shard now.
	ActsFor(shard model.Shard) bool
	// Changed returns a channel that is closed at the next change of the
	// membership.
	Changed() <-chan struct{}
}

// Peers forwards calls to other hosts.
type Peers interface {
	Call(ctx context.Context, address string, request *peerpb.CallRequest) (peerpb.DRPCPeer_CallClient, error)
}

// Place is the permission to run one call at a target.
type Place interface {
	Target() config.Target
	// Release ends the use of the target by the call. It must be called exactly
	// once.
	Release(u placement.Usage)
}

// OutcomeRecorder is implemented by places that judge their target by the outcomes of
// requests.
type OutcomeRecorder interface {
	// Record counts how an attempt ended, or that a stream has started. It is called
	// before Release.
	Record(o health.Outcome)
}

// Placer chooses targets and limits the calls in flight at each.
type Placer interface {
	// Acquire waits for a place. Errors are *model.Refusal.
	Acquire(ctx context.Context, r placement.Request) (Place, error)
}

// Pauser takes targets out of use.
type Pauser interface {
	// Pause takes a target out of use for a time.
	Pause(id model.TargetID, d time.Duration)
	// PauseCold is like Pause for a target that is cold.
	PauseCold(id model.TargetID, d time.Duration)
}

// Pacer limits the requests that all hosts together send to targets that state how
// many they take, and to cold targets.
type Pacer interface {
	// Observe records the rate that a target states in a response. stated is false
	// if the response has none. sentAt is when its request was sent.
	Observe(id model.TargetID, rate pacing.Rate, stated bool, sentAt time.Time)
	// Take decides whether a request may be sent to a target. It is denied if it
	// would have to wait for longer than maxDelay.
	Take(ctx context.Context, id model.TargetID, maxDelay time.Duration) pacing.Decision
	// Cold reports whether a target is cold, or may be.
	Cold(id model.TargetID) bool
	// ColdTargets returns the targets that are cold, or may be.
	ColdTargets() []model.TargetID
	// Lost records that a target refused a connection or broke one. down says that its
	// machine answered so, and not that it did not answer.
	Lost(id model.TargetID, down bool)
}

// Suspects tracks requests that crash targets.
type Suspects interface {
	// Begin claims one run of a request at one target. Errors are *model.Refusal
	// with model.RanNo.
	Begin(ctx context.Context, f model.Fingerprint) (*suspects.Run, error)
	// Check returns a *model.Refusal if the request may not run at any target.
	// exclusive means that it may run once more, without a second attempt.
	Check(f model.Fingerprint) (exclusive bool, err error)
	// OnTrial reports whether a run of the request must be claimed by Begin, because
	// the request was banned before.
	OnTrial(f model.Fingerprint) bool
	// RecordSuccess records that a target survived a whole run of a request that was
	// not claimed.
	RecordSuccess(f model.Fingerprint)
	// RecordCrash records a crash and notifies all peers before it returns.
	RecordCrash(ctx context.Context, f model.Fingerprint, target model.TargetID)
}

// Dialect writes and reads the header fields that the targets of a deployment
// use for forwarded requests.
type Dialect interface {
	// Encode adds the header fields for one attempt to a request.
	Encode(req *fasthttp.Request, f *Forward, d Dispatch)
	// Decode reads the header fields of a response.
	Decode(resp *fasthttp.Response) Reply
}

// Turns enforces the token budget of each program.
type Turns interface {
	// Begin reserves the tokens of a turn. Errors are *model.Refusal with
	// model.RanNo, of kind model.ErrBudget if the program has too few tokens
	// left.
	Begin(ctx context.Context, key model.ProgramKey, t Turn) (TurnLease, error)
}

// TurnLease is the reservation of one turn.
type TurnLease interface {
	// End replaces the reservation by the tokens that the turn generated.
	End(used model.Tokens)
}

// Conversations keeps the turns of conversations.
type Conversations interface {
	// Begin returns the conversation that a turn of a program continues. previous is
	// empty for the first turn. Errors are *model.Refusal with model.RanNo, of kind
	// model.ErrNotFound only if it is certain that the previous turn does not exist.
	Begin(ctx context.Context, program model.ProgramKey, previous model.RequestID) (Conversation, error)
	// Save returns when a turn is stored durably, or fails.
	Save(ctx context.Context, t *conversation.Turn) error
}

// Conversation is the conversation that a turn continues.
type Conversation struct {
	Chain conversation.ChainID
	// Text is the input of each turn followed by its output, oldest first.
	Text []byte
}

// LoadReports receives the load that targets report in responses.
type LoadReports interface {
	Report(id model.TargetID, l placement.Load)
}

// Zones knows which zones operators evacuate.
type Zones interface {
	// Evacuated returns the zones whose targets get no new request.
	Evacuated() []model.Zone
}

// Departures learns which targets are leaving.
type Departures interface {
	// MarkLeaving records that a target said in a response that it is leaving. It
	// gets no new requests then.
	MarkLeaving(id model.TargetID)
}
