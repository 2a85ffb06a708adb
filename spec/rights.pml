/*
 * Right to act, removal, entry reports and shard ownership.
 *
 * Stands for core/member (record.go, right.go, owner.go) and app/fleet
 * (lease.go, control.go, beat.go).
 *
 * Three hosts and one shard, which belongs to the member with the highest
 * number. A share behaves like the shard: it is granted again only when all
 * members of an epoch have written entry reports.
 *
 * Time is a global tick of 1.5 s; ages are counted in ticks and saturate. A
 * lease lasts LEASE ticks, a confirmation WORD ticks. All orders of steps
 * within a tick are searched.
 *
 * Abstracted:
 * - Clocks are equal, so the margin for drift is 0.
 * - An outage of the store, a partition and a frozen host are hosts that take
 *   no steps with the store, or no steps at all. A host may find the store
 *   away at any time, even while others reach it.
 * - A renewal reaches the store when it is sent, and a peer answers a heartbeat
 *   when it is sent; a lost or late answer is one that is never used. Both are
 *   the worst case, because later ones extend the lease at the store and the
 *   wait of the peer without extending the right.
 * - GoneAfter is 0. Any process may remove a host, from a reading of the record
 *   and the lease that may be old when it is written.
 *
 * Property: at no time do two hosts have the right to act for the shard. With
 * the check repeated immediately before the act, no two act at once.
 *
 * NO_JOIN leaves out joins, NO_RETURN members that acquire a lease again after
 * theirs lapsed, and MAXRESTART bounds the restarts in place. They keep the search
 * small with three epochs.
 *
 * Wrong variants: CONFIRM_WITHOUT_MAJORITY, CONFIRM_OTHER_EPOCH,
 * REPORT_WITHOUT_WAIT, RESTART_WITHOUT_WAIT, REMOVE_WITHOUT_MAJORITY,
 * REMOVE_WITHOUT_CAS, ATTACH_WITHOUT_WRITE, GRANT_WITHOUT_REPORTS, NO_RECHECK,
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
byte lost[MAXEPOCH + 1];   /* members of the epoch removed without proof */
byte restarts;
byte closed;               /* epochs below cannot be confirmed any more */
byte report[N];            /* entry report of the present incarnation */

/* Hosts. */
bit joined[N];             /* the incarnation has joined */
bit attached[N];           /* the lease counts */
byte entered[N];
byte held[N];              /* age of the lease or its last renewal */
bit away[N];
byte answered[N];          /* age of the last answer of StoreAway */
byte confirmed[N * N];     /* age of a peer's confirmation */
bit tenure[N];             /* the shard is granted to the host */
bit checked[N];            /* NO_RECHECK: passed the check */

/* A removal that was read and is not written yet; 0: none, or 1 + host. */
byte removing;

#define owner(e) (has(members[e], 2) -> 2 : (has(members[e], 1) -> 1 : 0))
#define listed(h) (entered[h] > 0 && has(members[entered[h]], h) && joined[h])
#define word(h, p) ((h) == (p) -> away[h] : (has(members[entered[h]], p) && confirmed[(h) * N + (p)] < WORD))
#ifdef CONFIRM_WITHOUT_MAJORITY
#define quorum(h) (word(h, 0) + word(h, 1) + word(h, 2) > 0)
#else
#define quorum(h) (2 * (word(h, 0) + word(h, 1) + word(h, 2)) > size(members[entered[h]]))
#endif
#define mayAct(h) (listed(h) && ((attached[h] && held[h] < LEASE) || quorum(h)))
#define acts(h) (mayAct(h) && tenure[h])

inline check() {
	assert(!(acts(0) && acts(1)));
	assert(!(acts(0) && acts(2)));
	assert(!(acts(1) && acts(2)))
}

#define reportOf(h) (has(members[epoch], h) -> report[h] : epoch)
#define lower(a, b) ((a) < (b) -> (a) : (b))
#define lowest lower(reportOf(0), lower(reportOf(1), reportOf(2)))

/* A write of the membership record ends the validity of older readings. */
inline written() {
#ifndef REMOVE_WITHOUT_CAS
	removing = 0;
#endif
	if
	:: lowest > closed -> closed = lowest
	:: else
	fi
}

inline forgetWords(h) {
	confirmed[h * N] = WORD;
	confirmed[h * N + 1] = WORD;
	confirmed[h * N + 2] = WORD
}

/* A new incarnation of a host, before it joins. */
inline rename(h) {
	joined[h] = 0;
	attached[h] = 0;
	entered[h] = 0;
	tenure[h] = 0;
	checked[h] = 0;
	forgetWords(h)
}

inline enter(h) {
#ifndef CONFIRM_OTHER_EPOCH
	forgetWords(h);
#endif
	entered[h] = epoch;
	tenure[h] = tenure[h] && owner(epoch) == h
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
	/* renew. */
	:: atomic { held[h] < LEASE && joined[h] && (away[h] || held[h] > 0) ->
		held[h] = 0;
		away[h] = 0;
		check() }
#ifndef NO_RETURN
	/* ErrLeaseLapsed, then a new lease. */
	:: atomic { held[h] == LEASE && joined[h] ->
		attached[h] = 0;
		held[h] = 0;
		away[h] = 0 }
#endif
	/* noteReached with an error. */
	:: atomic { !away[h] && joined[h] ->
		away[h] = 1;
		check() }

	/* attach: writes the record even if the host is in it. */
	:: atomic { !attached[h] && held[h] < LEASE && joined[h] && has(members[epoch], h) ->
#ifndef ATTACH_WITHOUT_WRITE
		written();
#endif
		attached[h] = 1;
		check() }
	/* Removed: an incarnation never joins twice. */
	:: atomic { joined[h] && !has(members[epoch], h) ->
		rename(h) }
#ifdef JOIN_SAME_INCARNATION
	/* The first write of the join took effect and its answer was lost; the
	 * process was removed before it tries again, and has not noticed. */
	:: atomic { joined[h] && !has(members[epoch], h) && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		written();
		attached[h] = 1;
		away[h] = 0;
		held[h] = 0;
		check() }
#endif
#ifndef NO_JOIN
	/* Join; the majority rule does not apply to a join. */
	:: atomic { !joined[h] && epoch < MAXEPOCH ->
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		written();
		joined[h] = 1;
		attached[h] = 1;
		away[h] = 0;
		held[h] = 0 }
#endif

	/* A process restarts at its address, which proves its predecessor gone. */
	:: atomic { epoch < MAXEPOCH && restarts < MAXRESTART && joined[h] && has(members[epoch], h) ->
		restarts++;
		rename(h);
		members[epoch + 1] = members[epoch];
		epoch++;
		report[h] = 0;
		written();
		held[h] = 0;
		away[h] = 0;
#ifndef RESTART_WITHOUT_WAIT
		answered[h] = 0;
#else
		answered[h] = WORD;
#endif
		joined[h] = 1;
		attached[h] = 1 }


	/* enter; epochs may be skipped. */
	:: atomic { joined[h] && entered[h] < epoch && has(members[epoch], h) ->
		enter(h);
		check() }
	/* reportEntry. */
	:: atomic { listed(h) && entered[h] == epoch && report[h] < epoch && has(members[epoch], h) &&
#ifndef REPORT_WITHOUT_WAIT
		answered[h] >= WORD &&
#endif
		!away[h] -> report[h] = epoch }
	/* settle. */
	:: atomic { listed(h) && entered[h] == epoch && !tenure[h] && owner(epoch) == h && settled(h) ->
		tenure[h] = 1;
		check() }

	/* beat and HandleHeartbeat. An answer is not needed while the lease is valid,
	 * and it is no older than the lease. */
	:: atomic { listed(h) && away[h] && !(attached[h] && held[h] < LEASE) ->
		if
		:: p = (h + 1) % N
		:: p = (h + 2) % N
		fi;
		if
		:: has(members[entered[h]], p) && away[p] &&
#ifndef CONFIRM_OTHER_EPOCH
			entered[p] == entered[h] &&
#endif
			(confirmed[h * N + p] > 0 || answered[p] > 0) ->
			answered[p] = 0;
			confirmed[h * N + p] = 0
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

#define remains(k, h) ((k) < closed || 2 * size(members[k] & ~(lost[k] | (1 << (h)))) > size(members[k]))

proctype Fleet() {
	byte h = 0;
	byte k = 0;
	bit refused = 0;
end:
	do
	/* One tick. */
	:: d_step {
		h = 0;
		do
		:: h < N ->
			older(held[h], LEASE);
			older(answered[h], WORD);
			older(confirmed[h * N], WORD);
			older(confirmed[h * N + 1], WORD);
			older(confirmed[h * N + 2], WORD);
			h++
		:: else -> break
		od;
		h = 0 }
	/* removeLapsed: reads the record, then the lease. */
	:: atomic { removing == 0 && epoch < MAXEPOCH ->
		do
		:: h < N - 1 -> h++
		:: break
		od;
		if
		:: has(members[epoch], h) && held[h] == LEASE -> removing = 1 + h
		:: else
		fi;
		h = 0 }
	/* Then writes by compare-and-swap. */
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
		closed = 1;
		joined[0] = 1; joined[1] = 1; joined[2] = 1;
		attached[0] = 1; attached[1] = 1; attached[2] = 1;
		entered[0] = 1; entered[1] = 1; entered[2] = 1;
		report[0] = 1; report[1] = 1; report[2] = 1;
		tenure[2] = 1;
		answered[0] = WORD; answered[1] = WORD; answered[2] = WORD;
		forgetWords(0);
		forgetWords(1);
		forgetWords(2);
		run Host(0);
		run Host(1);
		run Host(2);
		run Fleet()
	}
}
