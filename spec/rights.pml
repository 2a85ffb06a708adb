/*
 * Right to act, removal of hosts, entry reports and shard ownership.
 *
 * Models core/member (record.go, right.go, owner.go) and app/fleet (lease.go,
 * control.go, heartbeat.go).
 *
 * The removal of the last one or two members of an epoch is in small.pml.
 *
 * There are three hosts and one shard, which belongs to the member with the
 * highest number. Shares of limits follow the same rule as the shard: they are
 * granted again only after all members of an epoch have written entry reports.
 *
 * Time passes in global ticks of 1.5 s. Ages are counted in ticks up to a maximum.
 * A lease lasts LEASE ticks. A peer confirms a heartbeat if it cannot reach the
 * store either; a confirmation lasts CONFIRMATION ticks. All orders of steps within
 * a tick are searched.
 *
 * Abstractions:
 * - Clocks are equal, so the margin for drift is 0.
 * - In a store outage or partition, hosts take no steps that need the store. A
 *   paused host takes no steps at all. A host may find the store unreachable at any
 *   time, even while others reach it.
 * - A renewal reaches the store, and a peer answers a heartbeat, at the time at
 *   which it is sent. A lost or late answer is one that is never used. Both are the
 *   worst case: if they took effect later, the lease in the store and the peer's
 *   wait before its entry report would last longer, and the right to act would not.
 * - MinStoreReachable is 0. Any process may remove a host, and the record and the
 *   lease that it has read may be outdated when it writes.
 *
 * Property: two hosts never have the right to act for the shard at the same time.
 * A host checks the right immediately before it acts, so no two act at once.
 *
 * NO_JOIN omits joins, NO_RETURN omits members that acquire a lease again after
 * theirs lapsed, and MAXRESTART bounds the restarts in place, so that the search
 * with three epochs stays small.
 *
 * Faulty variants, each of which violates the property:
 * CONFIRM_WITHOUT_MAJORITY, CONFIRM_OTHER_EPOCH, REPORT_WITHOUT_WAIT,
 * RESTART_WITHOUT_WAIT, REMOVE_WITHOUT_MAJORITY, REMOVE_WITHOUT_CAS,
 * ATTACH_WITHOUT_WRITE, GRANT_WITHOUT_REPORTS, NO_RECHECK,
 * JOIN_SAME_INCARNATION.
 */

#define N 3
#ifndef MAXEPOCH
#define MAXEPOCH 3
#endif
#ifndef LEASE
#define LEASE 2
#endif
#define CONFIRMATION 1
#ifndef MAXRESTART
#define MAXRESTART 1
#endif
#define ALL 7
#define has(set, h) (((set) >> (h)) & 1)
#define size(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

/* Store. */
byte epoch = 1;
byte members[MAXEPOCH + 1];
/* Members of an epoch that were removed without proof that their process has
 * ended. */
byte maybeRunning[MAXEPOCH + 1];
byte restarts;
byte minConfirmableEpoch;  /* peers no longer confirm earlier epochs */
byte report[N];            /* epoch in the incarnation's entry report */

/* Hosts. */
bit joined[N];             /* the incarnation has joined */
bit leaseAttached[N];      /* the lease counts for the right to act */
byte entered[N];           /* epoch that the host has entered; 0: none */
byte leaseAge[N];          /* time since the lease was acquired or renewed */
bit storeUnreachable[N];   /* as seen by the host */
byte answerAge[N];         /* time since the host last confirmed a heartbeat */
byte confirmAge[N * N];    /* [host * N + peer]: age of the peer's confirmation */
bit ownsShard[N];          /* the shard is active at the host */
bit checked[N];            /* NO_RECHECK: the host has passed the check */

/* 1 + the host that is being removed, after its lease was read and before the
 * record is written; 0 if there is no removal. */
byte removing;

#define owner(e) (has(members[e], 2) -> 2 : (has(members[e], 1) -> 1 : 0))
#define isMember(h) (entered[h] > 0 && has(members[entered[h]], h) && joined[h])
/* p confirms the right of h to act. A host confirms itself by its own state. */
#define confirmedBy(h, p) ((h) == (p) -> storeUnreachable[h] : \
	(has(members[entered[h]], p) && confirmAge[(h) * N + (p)] < CONFIRMATION))
#ifdef CONFIRM_WITHOUT_MAJORITY
#define hasQuorum(h) (confirmedBy(h, 0) + confirmedBy(h, 1) + confirmedBy(h, 2) > 0)
#else
#define hasQuorum(h) (2 * (confirmedBy(h, 0) + confirmedBy(h, 1) + confirmedBy(h, 2)) > size(members[entered[h]]))
#endif
#define mayAct(h) (isMember(h) && ((leaseAttached[h] && leaseAge[h] < LEASE) || hasQuorum(h)))
#define actsForShard(h) (mayAct(h) && ownsShard[h])

inline checkExclusive() {
	assert(!(actsForShard(0) && actsForShard(1)));
	assert(!(actsForShard(0) && actsForShard(2)));
	assert(!(actsForShard(1) && actsForShard(2)))
}

#define reportedEpoch(h) (has(members[epoch], h) -> report[h] : epoch)
#define min(a, b) ((a) < (b) -> (a) : (b))
#define lowestReport min(reportedEpoch(0), min(reportedEpoch(1), reportedEpoch(2)))

/* After a write of the membership record, the compare-and-swap of a removal that
 * read the record earlier fails. */
inline recordWritten() {
#ifndef REMOVE_WITHOUT_CAS
	removing = 0;
#endif
	if
	:: lowestReport > minConfirmableEpoch -> minConfirmableEpoch = lowestReport
	:: else
	fi
}

inline expireConfirmations(h) {
	confirmAge[h * N] = CONFIRMATION;
	confirmAge[h * N + 1] = CONFIRMATION;
	confirmAge[h * N + 2] = CONFIRMATION
}

/* Starts a new incarnation of a host. It has not joined yet. */
inline startIncarnation(h) {
	joined[h] = 0;
	leaseAttached[h] = 0;
	entered[h] = 0;
	ownsShard[h] = 0;
	checked[h] = 0;
	expireConfirmations(h)
}

inline enterEpoch(h) {
#ifndef CONFIRM_OTHER_EPOCH
	expireConfirmations(h);
#endif
	entered[h] = epoch;
	ownsShard[h] = ownsShard[h] && owner(epoch) == h
}

#define entryReported(h, m) (!has(members[entered[h]], m) || report[m] == entered[h])
#ifdef GRANT_WITHOUT_REPORTS
#define allReported(h) (entryReported(h, h))
#else
#define allReported(h) (entryReported(h, 0) && entryReported(h, 1) && entryReported(h, 2))
#endif

proctype Host(byte h) {
	byte p = 0;
end:
	do
	/* app/fleet: renewLease. */
	:: atomic { leaseAge[h] < LEASE && joined[h] && (storeUnreachable[h] || leaseAge[h] > 0) ->
		leaseAge[h] = 0;
		storeUnreachable[h] = 0;
		checkExclusive() }
#ifndef NO_RETURN
	/* renewLease returns ErrLeaseLapsed, then acquireLease succeeds. */
	:: atomic { leaseAge[h] == LEASE && joined[h] ->
		leaseAttached[h] = 0;
		leaseAge[h] = 0;
		storeUnreachable[h] = 0 }
#endif
	/* recordStoreResult with an error. */
	:: atomic { !storeUnreachable[h] && joined[h] ->
		storeUnreachable[h] = 1;
		checkExclusive() }

	/* joinFleet of a member: writes the record even if the host is already in it. */
	:: atomic { !leaseAttached[h] && leaseAge[h] < LEASE && joined[h] && has(members[epoch], h) ->
#ifndef ATTACH_WITHOUT_WRITE
		recordWritten();
#endif
		leaseAttached[h] = 1;
		checkExclusive() }
	/* The host was removed. An incarnation never joins twice. */
	:: atomic { joined[h] && !has(members[epoch], h) ->
		startIncarnation(h) }
#ifdef JOIN_SAME_INCARNATION
	/* The write of a join took effect, but its answer was lost. The process was
	 * removed, has not learned of it, and tries to join again. */
	:: atomic { joined[h] && !has(members[epoch], h) && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		recordWritten();
		leaseAttached[h] = 1;
		storeUnreachable[h] = 0;
		leaseAge[h] = 0;
		checkExclusive() }
#endif
#ifndef NO_JOIN
	/* joinFleet of a host that is not a member. A join needs no majority of the
	 * previous members. */
	:: atomic { !joined[h] && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		recordWritten();
		joined[h] = 1;
		leaseAttached[h] = 1;
		storeUnreachable[h] = 0;
		leaseAge[h] = 0 }
#endif

	/* A process restarts at its address, which proves that the previous process has
	 * ended. */
	:: atomic { epoch < MAXEPOCH && restarts < MAXRESTART && joined[h] && has(members[epoch], h) ->
		restarts++;
		startIncarnation(h);
		members[epoch + 1] = members[epoch];
		epoch++;
		report[h] = 0;
		recordWritten();
		leaseAge[h] = 0;
		storeUnreachable[h] = 0;
#ifndef RESTART_WITHOUT_WAIT
		answerAge[h] = 0;
#else
		answerAge[h] = CONFIRMATION;
#endif
		joined[h] = 1;
		leaseAttached[h] = 1 }

	/* enterNewestEpoch. It may skip epochs. */
	:: atomic { joined[h] && entered[h] < epoch && has(members[epoch], h) ->
		enterEpoch(h);
		checkExclusive() }
	/* reportEntry. */
	:: atomic { isMember(h) && entered[h] == epoch && report[h] < epoch && has(members[epoch], h) &&
#ifndef REPORT_WITHOUT_WAIT
		answerAge[h] >= CONFIRMATION &&
#endif
		!storeUnreachable[h] -> report[h] = epoch }
	/* settleEpoch. */
	:: atomic { isMember(h) && entered[h] == epoch && !ownsShard[h] && owner(epoch) == h && allReported(h) ->
		ownsShard[h] = 1;
		checkExclusive() }

	/* sendHeartbeat and HandleHeartbeat. A host with a valid lease needs no answer,
	 * and an answer is no older than the lease. */
	:: atomic { isMember(h) && storeUnreachable[h] && !(leaseAttached[h] && leaseAge[h] < LEASE) ->
		if
		:: p = (h + 1) % N
		:: p = (h + 2) % N
		fi;
		if
		:: has(members[entered[h]], p) && storeUnreachable[p] &&
#ifndef CONFIRM_OTHER_EPOCH
			entered[p] == entered[h] &&
#endif
			(confirmAge[h * N + p] > 0 || answerAge[p] > 0) ->
			answerAge[p] = 0;
			confirmAge[h * N + p] = 0
		:: else
		fi;
		p = 0;
		checkExclusive() }

#ifdef NO_RECHECK
	:: atomic { actsForShard(h) && !checked[h] -> checked[h] = 1 }
	:: atomic { checked[h] ->
		assert(h == 0 || !actsForShard(0));
		assert(h == 1 || !actsForShard(1));
		assert(h == 2 || !actsForShard(2));
		checked[h] = 0 }
#endif
	od
}

inline incrementAge(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

/* Without h, a majority of epoch k remains, or the epoch cannot be confirmed. */
#define majorityRemains(k, h) ((k) < minConfirmableEpoch || \
	2 * size(members[k] & ~(maybeRunning[k] | (1 << (h)))) > size(members[k]))

proctype Fleet() {
	byte h = 0;
	byte k = 0;
	bit refused = 0;
end:
	do
	/* One tick passes. */
	:: d_step {
		h = 0;
		do
		:: h < N ->
			incrementAge(leaseAge[h], LEASE);
			incrementAge(answerAge[h], CONFIRMATION);
			incrementAge(confirmAge[h * N], CONFIRMATION);
			incrementAge(confirmAge[h * N + 1], CONFIRMATION);
			incrementAge(confirmAge[h * N + 2], CONFIRMATION);
			h++
		:: else -> break
		od;
		h = 0 }
	/* removeLapsed reads the record, then the lease. */
	:: atomic { removing == 0 && epoch < MAXEPOCH ->
		do
		:: h < N - 1 -> h++
		:: break
		od;
		if
		:: has(members[epoch], h) && leaseAge[h] == LEASE -> removing = 1 + h
		:: else
		fi;
		h = 0 }
	/* Then it writes the record by compare-and-swap, if a majority remains of each
	 * epoch that can still be confirmed. */
	:: atomic { removing > 0 ->
		h = removing - 1;
		removing = 0;
		refused = 0;
#ifndef REMOVE_WITHOUT_MAJORITY
		k = 1;
		do
		:: k <= epoch ->
			if
			:: has(members[k], h) && !majorityRemains(k, h) -> refused = 1
			:: else
			fi;
			k++
		:: else -> break
		od;
		k = 0;
#endif
		if
		:: !refused && epoch < MAXEPOCH && has(members[epoch], h) && members[epoch] != (1 << h) ->
			k = 1;
			do
			:: k <= epoch ->
				if
				:: has(members[k], h) -> maybeRunning[k] = maybeRunning[k] | (1 << h)
				:: else
				fi;
				k++
			:: else -> break
			od;
			members[epoch + 1] = members[epoch] & ~(1 << h);
			epoch++;
			recordWritten()
		:: else
		fi;
		refused = 0;
		k = 0;
		h = 0 }
	od
}

init {
	atomic {
		members[1] = ALL;
		minConfirmableEpoch = 1;
		joined[0] = 1; joined[1] = 1; joined[2] = 1;
		leaseAttached[0] = 1; leaseAttached[1] = 1; leaseAttached[2] = 1;
		entered[0] = 1; entered[1] = 1; entered[2] = 1;
		report[0] = 1; report[1] = 1; report[2] = 1;
		ownsShard[2] = 1;
		answerAge[0] = CONFIRMATION; answerAge[1] = CONFIRMATION; answerAge[2] = CONFIRMATION;
		expireConfirmations(0);
		expireConfirmations(1);
		expireConfirmations(2);
		run Host(0);
		run Host(1);
		run Host(2);
		run Fleet()
	}
}
