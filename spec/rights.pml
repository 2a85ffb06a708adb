/*
 * Right to act, removal of hosts, entry reports and shard ownership.
 *
 * Models core/member (record.go, right.go, owner.go) and app/fleet (lease.go,
 * control.go, heartbeat.go).
 *
 * There are three hosts and one shard, which belongs to the member with the
 * highest number. Shares of limits follow the same rule as the shard: they are
 * granted again only after all members of an epoch have written entry reports.
 *
 * Time is a global tick of 1.5 s. Ages are counted in ticks and saturate. A lease
 * lasts LEASE ticks. A confirmation, a peer's answer to a heartbeat that it cannot
 * reach the store either, lasts WORD ticks. All orders of steps within a tick are
 * searched.
 *
 * Abstractions:
 * - Clocks are equal, so the margin for drift is 0.
 * - In a store outage or partition, hosts take no steps that need the store. A
 *   frozen host takes no steps at all. A host may find the store unreachable at any
 *   time, even while others reach it.
 * - A renewal reaches the store, and a peer answers a heartbeat, at the time at
 *   which it is sent. A lost or late answer is one that is never used. Both are the
 *   worst case: if they took effect later, the lease in the store and the peer's
 *   wait would last longer, and the right to act would not.
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
#define WORD 1
#ifndef MAXRESTART
#define MAXRESTART 1
#endif
#define ALL 7
#define has(set, h) (((set) >> (h)) & 1)
#define size(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

/* Store. */
byte epoch = 1;
byte members[MAXEPOCH + 1];
byte lost[MAXEPOCH + 1];   /* members of the epoch that were removed without proof
                            * that their process is gone */
byte restarts;
byte minOpenEpoch;         /* earlier epochs cannot be confirmed any more */
byte report[N];            /* epoch in the incarnation's entry report */

/* Hosts. */
bit joined[N];             /* the incarnation has joined */
bit attached[N];           /* the lease counts for the right to act */
byte entered[N];
byte leaseAge[N];          /* time since the lease was acquired or renewed */
bit storeAway[N];          /* the host cannot reach the store */
byte answerAge[N];         /* time since the host last confirmed a peer */
byte confirmAge[N * N];    /* [host * N + peer]: age of the peer's confirmation */
bit ownsShard[N];          /* the shard is active at the host */
bit checked[N];            /* NO_RECHECK: the host has passed the check */

/* A removal whose process has read the record and the lease and not written yet:
 * 1 + host, or 0 if there is none. */
byte removing;

#define owner(e) (has(members[e], 2) -> 2 : (has(members[e], 1) -> 1 : 0))
#define listed(h) (entered[h] > 0 && has(members[entered[h]], h) && joined[h])
#define word(h, p) ((h) == (p) -> storeAway[h] : (has(members[entered[h]], p) && confirmAge[(h) * N + (p)] < WORD))
#ifdef CONFIRM_WITHOUT_MAJORITY
#define quorum(h) (word(h, 0) + word(h, 1) + word(h, 2) > 0)
#else
#define quorum(h) (2 * (word(h, 0) + word(h, 1) + word(h, 2)) > size(members[entered[h]]))
#endif
#define mayAct(h) (listed(h) && ((attached[h] && leaseAge[h] < LEASE) || quorum(h)))
#define acts(h) (mayAct(h) && ownsShard[h])

inline check() {
	assert(!(acts(0) && acts(1)));
	assert(!(acts(0) && acts(2)));
	assert(!(acts(1) && acts(2)))
}

#define reportOf(h) (has(members[epoch], h) -> report[h] : epoch)
#define lower(a, b) ((a) < (b) -> (a) : (b))
#define lowest lower(reportOf(0), lower(reportOf(1), reportOf(2)))

/* A write of the membership record makes the compare-and-swap of a removal fail
 * that read the record earlier. */
inline written() {
#ifndef REMOVE_WITHOUT_CAS
	removing = 0;
#endif
	if
	:: lowest > minOpenEpoch -> minOpenEpoch = lowest
	:: else
	fi
}

inline forgetWords(h) {
	confirmAge[h * N] = WORD;
	confirmAge[h * N + 1] = WORD;
	confirmAge[h * N + 2] = WORD
}

/* Starts a new incarnation of a host, which has not joined yet. */
inline rename(h) {
	joined[h] = 0;
	attached[h] = 0;
	entered[h] = 0;
	ownsShard[h] = 0;
	checked[h] = 0;
	forgetWords(h)
}

inline enter(h) {
#ifndef CONFIRM_OTHER_EPOCH
	forgetWords(h);
#endif
	entered[h] = epoch;
	ownsShard[h] = ownsShard[h] && owner(epoch) == h
}

#define entryReported(h, m) (!has(members[entered[h]], m) || report[m] == entered[h])
#ifdef GRANT_WITHOUT_REPORTS
#define settled(h) (entryReported(h, h))
#else
#define settled(h) (entryReported(h, 0) && entryReported(h, 1) && entryReported(h, 2))
#endif

proctype Host(byte h) {
	byte p = 0;
end:
	do
	/* app/fleet: renewLease. */
	:: atomic { leaseAge[h] < LEASE && joined[h] && (storeAway[h] || leaseAge[h] > 0) ->
		leaseAge[h] = 0;
		storeAway[h] = 0;
		check() }
#ifndef NO_RETURN
	/* renewLease returns ErrLeaseLapsed, then acquireLease succeeds. */
	:: atomic { leaseAge[h] == LEASE && joined[h] ->
		attached[h] = 0;
		leaseAge[h] = 0;
		storeAway[h] = 0 }
#endif
	/* recordStoreResult with an error. */
	:: atomic { !storeAway[h] && joined[h] ->
		storeAway[h] = 1;
		check() }

	/* joinFleet of a member: writes the record even if the host is already in it. */
	:: atomic { !attached[h] && leaseAge[h] < LEASE && joined[h] && has(members[epoch], h) ->
#ifndef ATTACH_WITHOUT_WRITE
		written();
#endif
		attached[h] = 1;
		check() }
	/* The host was removed. An incarnation never joins twice. */
	:: atomic { joined[h] && !has(members[epoch], h) ->
		rename(h) }
#ifdef JOIN_SAME_INCARNATION
	/* The write of a join took effect, but its answer was lost. The process was
	 * removed, has not noticed it, and tries to join again. */
	:: atomic { joined[h] && !has(members[epoch], h) && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		written();
		attached[h] = 1;
		storeAway[h] = 0;
		leaseAge[h] = 0;
		check() }
#endif
#ifndef NO_JOIN
	/* joinFleet of a host that is not a member. A join needs no majority of the
	 * previous members. */
	:: atomic { !joined[h] && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		written();
		joined[h] = 1;
		attached[h] = 1;
		storeAway[h] = 0;
		leaseAge[h] = 0 }
#endif

	/* A process restarts at its address, which proves that its predecessor is gone. */
	:: atomic { epoch < MAXEPOCH && restarts < MAXRESTART && joined[h] && has(members[epoch], h) ->
		restarts++;
		rename(h);
		members[epoch + 1] = members[epoch];
		epoch++;
		report[h] = 0;
		written();
		leaseAge[h] = 0;
		storeAway[h] = 0;
#ifndef RESTART_WITHOUT_WAIT
		answerAge[h] = 0;
#else
		answerAge[h] = WORD;
#endif
		joined[h] = 1;
		attached[h] = 1 }


	/* enterNewestEpoch. It may skip epochs. */
	:: atomic { joined[h] && entered[h] < epoch && has(members[epoch], h) ->
		enter(h);
		check() }
	/* reportEntry. */
	:: atomic { listed(h) && entered[h] == epoch && report[h] < epoch && has(members[epoch], h) &&
#ifndef REPORT_WITHOUT_WAIT
		answerAge[h] >= WORD &&
#endif
		!storeAway[h] -> report[h] = epoch }
	/* settleEpoch. */
	:: atomic { listed(h) && entered[h] == epoch && !ownsShard[h] && owner(epoch) == h && settled(h) ->
		ownsShard[h] = 1;
		check() }

	/* sendHeartbeat and HandleHeartbeat. A host with a valid lease needs no answer,
	 * and an answer is no older than the lease. */
	:: atomic { listed(h) && storeAway[h] && !(attached[h] && leaseAge[h] < LEASE) ->
		if
		:: p = (h + 1) % N
		:: p = (h + 2) % N
		fi;
		if
		:: has(members[entered[h]], p) && storeAway[p] &&
#ifndef CONFIRM_OTHER_EPOCH
			entered[p] == entered[h] &&
#endif
			(confirmAge[h * N + p] > 0 || answerAge[p] > 0) ->
			answerAge[p] = 0;
			confirmAge[h * N + p] = 0
		:: else
		fi;
		p = 0;
		check() }

#ifdef NO_RECHECK
	:: atomic { acts(h) && !checked[h] -> checked[h] = 1 }
	:: atomic { checked[h] ->
		assert(h == 0 || !acts(0));
		assert(h == 1 || !acts(1));
		assert(h == 2 || !acts(2));
		checked[h] = 0 }
#endif
	od
}

inline older(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

#define remains(k, h) ((k) < minOpenEpoch || 2 * size(members[k] & ~(lost[k] | (1 << (h)))) > size(members[k]))

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
			older(leaseAge[h], LEASE);
			older(answerAge[h], WORD);
			older(confirmAge[h * N], WORD);
			older(confirmAge[h * N + 1], WORD);
			older(confirmAge[h * N + 2], WORD);
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
			:: has(members[k], h) && !remains(k, h) -> refused = 1
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
				:: has(members[k], h) -> lost[k] = lost[k] | (1 << h)
				:: else
				fi;
				k++
			:: else -> break
			od;
			members[epoch + 1] = members[epoch] & ~(1 << h);
			epoch++;
			written()
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
		minOpenEpoch = 1;
		joined[0] = 1; joined[1] = 1; joined[2] = 1;
		attached[0] = 1; attached[1] = 1; attached[2] = 1;
		entered[0] = 1; entered[1] = 1; entered[2] = 1;
		report[0] = 1; report[1] = 1; report[2] = 1;
		ownsShard[2] = 1;
		answerAge[0] = WORD; answerAge[1] = WORD; answerAge[2] = WORD;
		forgetWords(0);
		forgetWords(1);
		forgetWords(2);
		run Host(0);
		run Host(1);
		run Host(2);
		run Fleet()
	}
}
