/*
 * Leaving an epoch of one or two members that are gone.
 *
 * Models core/member (silent.go, right.go) and app/fleet (lease.go, removal.go,
 * control.go). rights.pml models the rules for larger epochs.
 *
 * There are two hosts and one shard. Host 0 is the only member of the first epoch.
 * The other host joins at another address and may remove it, and each host that was
 * removed may join again as a new incarnation. The shard belongs to the member with
 * the highest number, and becomes active only after all members of the epoch have
 * written entry reports.
 *
 * Time passes in global ticks. A lease lasts LEASE ticks, a confirmation
 * CONFIRMATION, and the right by confirmations ends AWAY ticks after the last renewal
 * that counts. A host that is removed without a majority of an open epoch left must
 * have been known without a lease for AWAY ticks. All orders of steps within a tick
 * are searched.
 *
 * Abstractions, beside those of rights.pml:
 * - Clocks are equal.
 * - A watch is late if the step that reads the leases and the record is not taken.
 * - A member is replaced in its epoch by a removal and a join, in two writes.
 *
 * Property: two hosts never have the right to act for the shard at the same time.
 *
 * Faulty variants, each of which violates the property:
 * NO_AWAY_LIMIT (a lone member acts on its own word for ever), REMOVE_WITHOUT_SILENCE
 * (a lapsed lease is enough), SHORT_SILENCE (it is not waited for AWAY),
 * SILENCE_WITHOUT_ATTACHMENTS (a lease that was acquired again between two looks is
 * not noticed), LEASE_NOT_READ (the lease is not read again before the removal).
 */

#define N 2
#ifndef MAXEPOCH
#define MAXEPOCH 4
#endif
#ifndef MAXATTACH
#define MAXATTACH 2
#endif
#define LEASE 2
#define CONFIRMATION 1
#ifndef AWAY
#define AWAY 4
#endif
#define has(set, h) (((set) >> (h)) & 1)
#define size(set) (((set) & 1) + (((set) >> 1) & 1))
#define other(h) (1 - (h))
#ifdef SHORT_SILENCE
#define SILENCE 0
#else
#define SILENCE AWAY
#endif
#define NONE 255

/* Store. */
byte epoch = 1;
byte members[MAXEPOCH + 1];
byte lostIn[MAXEPOCH + 1];     /* members that were removed and may still run */
byte minOpenEpoch;             /* earlier epochs are confirmed by no member */
byte report[N];
byte attachments[N];           /* numbers the incarnations and their attachments */

/* Hosts. */
bit joined[N];
bit leaseAttached[N];          /* the lease counts for the right to act */
byte entered[N];
byte leaseAge[N];              /* since the lease was acquired or renewed */
byte renewAge[N];              /* since the last renewal that counts */
bit storeUnreachable[N];
byte answerAge[N];             /* since the host last confirmed a heartbeat */
byte confirmAge[N];            /* age of the confirmation of the other host */
bit ownsShard[N];
byte silentAge[N];             /* since the host saw the other one without a lease */
byte silentAttachments[N];     /* of the other one at that time */

/* 1 + the host that writes a removal, after it has read the record and the lease. */
byte removing;

#define owner(e) (has(members[e], 1) -> 1 : 0)
#define isMember(h) (entered[h] > 0 && has(members[entered[h]], h) && joined[h])
#define otherConfirms(h) (has(members[entered[h]], other(h)) && confirmAge[h] < CONFIRMATION)
#define hasQuorum(h) (2 * (storeUnreachable[h] + otherConfirms(h)) > size(members[entered[h]]))
#ifdef NO_AWAY_LIMIT
#define mayConfirm(h) true
#else
#define mayConfirm(h) (renewAge[h] < AWAY)
#endif
#define mayAct(h) (isMember(h) && ((leaseAttached[h] && leaseAge[h] < LEASE) || (mayConfirm(h) && hasQuorum(h))))
#define actsForShard(h) (mayAct(h) && ownsShard[h])

inline checkExclusive() {
	assert(!(actsForShard(0) && actsForShard(1)))
}

#define reportedEpoch(h) (has(members[epoch], h) -> report[h] : epoch)
#define min(a, b) ((a) < (b) -> (a) : (b))

/* After a write of the membership record, the compare-and-swap of a removal that
 * read the record earlier fails. */
inline recordWritten() {
	removing = 0;
	if
	:: min(reportedEpoch(0), reportedEpoch(1)) > minOpenEpoch -> minOpenEpoch = min(reportedEpoch(0), reportedEpoch(1))
	:: else
	fi
}

/* The other host is known without a lease for long enough, and has attached none
 * since. */
#ifdef SILENCE_WITHOUT_ATTACHMENTS
#define sameAttachments(h) true
#else
#define sameAttachments(h) (silentAttachments[h] == attachments[other(h)])
#endif
#ifdef REMOVE_WITHOUT_SILENCE
#define otherIsSilent(h) true
#else
#define otherIsSilent(h) (silentAge[h] != NONE && silentAge[h] >= SILENCE && sameAttachments(h))
#endif
#ifdef LEASE_NOT_READ
#define leaseRead(h) true
#else
#define leaseRead(h) (leaseAge[other(h)] == LEASE)
#endif
/* Without the other host, a majority of epoch k would be lost. */
#define majorityLost(k, h) ((k) >= minOpenEpoch && has(members[k], other(h)) && \
	2 * size(members[k] & (lostIn[k] | (1 << other(h)))) > size(members[k]))

proctype Host(byte h) {
	byte k = 0;
	bit refused = 0;
end:
	do
	/* renewLease. */
	:: atomic { leaseAge[h] < LEASE && joined[h] && (storeUnreachable[h] || leaseAge[h] > 0) ->
		leaseAge[h] = 0;
		storeUnreachable[h] = 0;
		if
		:: leaseAttached[h] -> renewAge[h] = 0
		:: else
		fi;
		checkExclusive() }
	/* renewLease returns ErrLeaseLapsed, then acquireLease succeeds. */
	:: atomic { leaseAge[h] == LEASE && joined[h] && attachments[h] < MAXATTACH ->
		leaseAttached[h] = 0;
		leaseAge[h] = 0;
		storeUnreachable[h] = 0 }
	/* recordStoreResult with an error. */
	:: atomic { !storeUnreachable[h] && joined[h] ->
		storeUnreachable[h] = 1;
		checkExclusive() }
	/* joinFleet of a member: writes the record with one more attachment. The lease
	 * may have lapsed again meanwhile. */
	:: atomic { !leaseAttached[h] && joined[h] && has(members[epoch], h) && attachments[h] < MAXATTACH ->
		attachments[h]++;
		recordWritten();
		leaseAttached[h] = 1;
		renewAge[h] = leaseAge[h];
		checkExclusive() }
	/* The host was removed. An incarnation never joins twice. */
	:: atomic { joined[h] && !has(members[epoch], h) ->
		joined[h] = 0;
		leaseAttached[h] = 0;
		entered[h] = 0;
		ownsShard[h] = 0;
		confirmAge[h] = CONFIRMATION }
	/* joinFleet of a host that is not a member. */
	:: atomic { !joined[h] && !has(members[epoch], h) && epoch < MAXEPOCH && attachments[h] < MAXATTACH ->
		attachments[h]++;
		members[epoch + 1] = members[epoch] | (1 << h);
		epoch++;
		report[h] = 0;
		recordWritten();
		joined[h] = 1;
		leaseAttached[h] = 1;
		storeUnreachable[h] = 0;
		leaseAge[h] = 0;
		renewAge[h] = 0 }

	/* enterNewestEpoch. */
	:: atomic { joined[h] && entered[h] < epoch && has(members[epoch], h) ->
		confirmAge[h] = CONFIRMATION;
		entered[h] = epoch;
		ownsShard[h] = ownsShard[h] && owner(epoch) == h;
		checkExclusive() }
	/* reportEntry. */
	:: atomic { isMember(h) && entered[h] == epoch && report[h] < epoch && answerAge[h] >= CONFIRMATION && !storeUnreachable[h] ->
		report[h] = epoch }
	/* settleEpoch. */
	:: atomic { isMember(h) && entered[h] == epoch && !ownsShard[h] && owner(epoch) == h &&
		report[h] == epoch && (!has(members[epoch], other(h)) || report[other(h)] == epoch) ->
		ownsShard[h] = 1;
		checkExclusive() }
	/* sendHeartbeat and HandleHeartbeat. */
	:: atomic { isMember(h) && storeUnreachable[h] && storeUnreachable[other(h)] && joined[other(h)] &&
		has(members[entered[h]], other(h)) && entered[other(h)] == entered[h] && (confirmAge[h] > 0 || answerAge[other(h)] > 0) ->
		answerAge[other(h)] = 0;
		confirmAge[h] = 0;
		checkExclusive() }

	/* applyWatch: the host sees whether the other one has a lease. */
	:: atomic { joined[h] && !storeUnreachable[h] ->
		if
		:: leaseAge[other(h)] < LEASE && silentAge[h] != NONE ->
			silentAge[h] = NONE;
			silentAttachments[h] = 0
		:: leaseAge[other(h)] == LEASE && (silentAge[h] == NONE || silentAttachments[h] != attachments[other(h)]) ->
#ifdef SILENCE_WITHOUT_ATTACHMENTS
			if
			:: silentAge[h] == NONE -> silentAge[h] = 0
			:: else
			fi;
#else
			silentAge[h] = 0;
#endif
			silentAttachments[h] = attachments[other(h)]
		:: else
		fi }
	/* removeLapsed reads the record, then the lease. */
	:: atomic { removing == 0 && isMember(h) && !storeUnreachable[h] && epoch < MAXEPOCH && members[epoch] == 3 &&
		leaseRead(h) -> removing = 1 + h }
	/* Then it writes the record by compare-and-swap. */
	:: atomic { removing == 1 + h ->
		removing = 0;
		refused = 0;
		k = 1;
		do
		:: k <= epoch ->
			if
			:: majorityLost(k, h) && !otherIsSilent(h) -> refused = 1
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: !refused && members[epoch] == 3 && epoch < MAXEPOCH ->
			k = 1;
			do
			:: k <= epoch ->
				lostIn[k] = lostIn[k] | (members[k] & (1 << other(h)));
				k++
			:: else -> break
			od;
			members[epoch + 1] = 1 << h;
			epoch++;
			recordWritten()
		:: else
		fi;
		refused = 0;
		k = 0;
		checkExclusive() }
	od
}

inline incrementAge(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

proctype Time() {
	byte h = 0;
end:
	do
	:: d_step {
		h = 0;
		do
		:: h < N ->
			incrementAge(leaseAge[h], LEASE);
			incrementAge(renewAge[h], AWAY);
			incrementAge(answerAge[h], CONFIRMATION);
			incrementAge(confirmAge[h], CONFIRMATION);
			incrementAge(silentAge[h], AWAY);
			h++
		:: else -> break
		od;
		h = 0 }
	od
}

init {
	atomic {
		members[1] = 1;
		minOpenEpoch = 1;
		joined[0] = 1;
		leaseAttached[0] = 1;
		entered[0] = 1;
		report[0] = 1;
		ownsShard[0] = 1;
		leaseAge[1] = LEASE;
		renewAge[1] = AWAY;
		answerAge[0] = CONFIRMATION;
		answerAge[1] = CONFIRMATION;
		confirmAge[0] = CONFIRMATION;
		confirmAge[1] = CONFIRMATION;
		silentAge[0] = NONE;
		silentAge[1] = NONE;
		run Host(0);
		run Host(1);
		run Time()
	}
}
