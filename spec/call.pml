/*
 * A non-idempotent call: its record is committed before the request is sent, its
 * program is taken over, and its caller retries it.
 *
 * Models core/program, app/programs (call.go, commit.go, takeover.go) and the
 * order of steps in app/relay/service_call.go.
 *
 * There are three hosts in three zones and one program with one non-idempotent
 * call. The caller sends the call to the owner at any time, MAXRUN times in total.
 *
 * Abstractions:
 * - A host has the right to act until it is removed or killed; rights.pml checks
 *   that rule. A right that lapses and is acquired again only delays steps.
 * - A record is a version (epoch, sequence) and a state. Hosts write their
 *   journals to separate keys, so the store keeps the newest of all versions.
 * - Only the newest commit of a host is in flight. Messages of older commits that
 *   have not arrived are lost. Checking the epoch and writing a copy are one step,
 *   because HandleReplicate checks the epoch again after the write.
 * - Shard ownership is arbitrary after each change of the membership.
 * - A paused process takes its steps late. Any time may pass between the check of
 *   the right to act and the first byte sent. A lost answer is modelled as a late
 *   one, because a run may time out at any time.
 * - A takeover has two steps: the owner asks all members to hand over the program
 *   and reads their copies, then it reads the store and installs the newest record.
 * - Kills and removals of live hosts lose at most MAXLOSS copies. Replication
 *   again after an epoch change is not modelled, so the bound applies to the whole
 *   run instead of the copies missing at one time.
 *
 * Properties: the call arrives at the target at most once. A run that answers
 * "Ran: no" has not sent a byte and never does.
 *
 * KILLS_ONLY omits removals of live hosts and moves of the shard, so that the
 * search with three epochs stays small.
 *
 * Faulty variants, each of which violates a property: SEND_BEFORE_COMMIT,
 * ONE_ACK, NO_RIGHT_CHECK, TAKEOVER_WITHOUT_STORE, TAKEOVER_WITHOUT_PEERS,
 * RERUN_STARTED, HANDOVER_OF_OPEN_CALL, RAN_NO_AFTER_SEND.
 */

#define N 3
#ifndef MAXRUN
#define MAXRUN 2
#endif
#ifndef MAXEPOCH
#define MAXEPOCH 2
#endif
#ifndef MAXLOSS
#define MAXLOSS 2
#endif
#define ALL 7

/* States of the call in memory and in records. */
#define ABSENT   0 /* program not loaded, or no record */
#define NOT_OPEN 1 /* program loaded, call not open */
#define STARTED  2
#define FINAL    3 /* done, failed or unknown */

/* Steps of a run. */
#define IDLE       0
#define COMMITTING 1
#define CHECKED    2
#define SENT       3

byte epoch = 1;            /* in the membership record in the store */
byte members[MAXEPOCH + 1];
byte owner[MAXEPOCH + 1];
byte losses;               /* kills and removals of live hosts */
byte runs;                 /* of the call */
byte arrivals;             /* of the request at the target */

byte entered[N];           /* epoch that a host has entered; 0: none */
bit alive[N];
bit hasRight[N];
byte state[N];
byte version[N];
byte step[N];

byte copyState[N];         /* copies that a host holds of the owner's records */
byte copyVersion[N];
byte storeState;
byte storeVersion;

/* The last commit of a host. inFlight is the set of receivers to which a message
 * is still in flight: a bit for each peer, and bit N for the store. */
byte inFlight[N];
byte inFlightState[N];
byte inFlightVersion[N];
byte inFlightEpoch[N];
byte acks[N];              /* set of peers that acknowledged the current version */

bit storeAcked[N];         /* the store has acknowledged the current version */

/* A takeover by a host, with the newest record that the members returned. */
bit takingOver[N];
byte foundState[N];
byte foundVersion[N];

#define has(set, h) (((set) >> (h)) & 1)
#define others(h)   (members[entered[h]] & (ALL - (1 << (h))))
#define owns(h)     (entered[h] > 0 && owner[entered[h]] == (h))

/* Sets the state of the call at h with a new version and starts a commit. */
inline startCommit(h, s) {
	state[h] = s;
	if
	:: version[h] / 16 < entered[h] -> version[h] = entered[h] * 16 + 1
	:: else -> version[h]++
	fi;
	acks[h] = 0;
	storeAcked[h] = 0;
	inFlight[h] = others(h) | (1 << N);
	inFlightState[h] = s;
	inFlightVersion[h] = version[h];
	inFlightEpoch[h] = entered[h]
}

/* Ends a run before the request was sent. The answer says "Ran: no". */
inline abortRun(h) {
	assert(step[h] != SENT);
	if
	:: state[h] == STARTED -> startCommit(h, NOT_OPEN)
	:: else /* the host has handed the program over */
	fi;
	step[h] = IDLE
}

inline endTakeover(h) {
	takingOver[h] = 0;
	foundState[h] = 0;
	foundVersion[h] = 0
}

/* Removes the program from the memory of h. The copies that h holds remain. */
inline unload(h) {
	state[h] = ABSENT;
	version[h] = 0;
	acks[h] = 0;
	storeAcked[h] = 0;
	endTakeover(h)
}

/* Adds a record to a takeover, which keeps the newest one. */
inline keepNewest(h, s, v) {
	if
	:: v > foundVersion[h] ->
		foundState[h] = s;
		foundVersion[h] = v
	:: else
	fi
}

#ifdef ONE_ACK
#define peersAcked(h) (acks[h] != 0)
#else
#define peersAcked(h) (acks[h] == ALL - (1 << (h)))
#endif
#ifdef NO_RIGHT_CHECK
#define mayAct(h) true
#else
#define mayAct(h) hasRight[h]
#endif
#ifdef SEND_BEFORE_COMMIT
#define committed(h) true
#else
#define committed(h) (peersAcked(h) || (storeAcked[h] && mayAct(h)))
#endif

proctype Host(byte h) {
	byte p = 0;
end:
	do
	/* app/programs: Service.Begin and Run.Start. They are one step, because the
	 * state Admitted is never committed. */
	:: atomic { alive[h] && step[h] == IDLE && owns(h) && state[h] == NOT_OPEN && hasRight[h] && runs < MAXRUN ->
		runs++;
		startCommit(h, STARTED);
		step[h] = COMMITTING }
	:: atomic { alive[h] && step[h] == COMMITTING ->
		if
		:: state[h] == STARTED && committed(h) && mayAct(h) -> step[h] = CHECKED
		:: true -> abortRun(h) /* timeout, no right to act, or program handed over */
		fi }
	/* The host sends the first byte, possibly long after the check. */
	:: atomic { alive[h] && step[h] == CHECKED ->
		arrivals++;
		assert(arrivals <= 1);
		step[h] = SENT }
	:: atomic { alive[h] && step[h] == SENT ->
#ifdef RAN_NO_AFTER_SEND
		abortRun(h)
#else
		if
		:: state[h] == STARTED -> startCommit(h, FINAL) /* answered, or the answer was lost */
		:: else
		fi;
		step[h] = IDLE
#endif
	   }

	/* app/programs: EpochChanged. */
	:: atomic { alive[h] && entered[h] > 0 && entered[h] < epoch ->
		entered[h] = epoch;
		endTakeover(h);
		if
		:: !has(members[epoch], h) ->
			unload(h);
			entered[h] = 0
		:: else
		fi }

	/* First step of a takeover: ask each member to hand the program over and to
	 * send its copies. All must be in the same epoch, and none may have the call
	 * open. */
	:: atomic { alive[h] && owns(h) && state[h] == ABSENT && step[h] == IDLE && !takingOver[h] ->
		p = 0;
		do
		:: p < N ->
			if
			:: has(others(h), p) && !(alive[p] && entered[p] == entered[h]) -> break
#ifndef HANDOVER_OF_OPEN_CALL
			:: has(others(h), p) && alive[p] && entered[p] == entered[h] && state[p] == STARTED -> break
#endif
			:: else -> p++
			fi
		:: else -> break
		od;
		if
		:: p < N /* try again later */
		:: else ->
			takingOver[h] = 1;
			keepNewest(h, copyState[h], copyVersion[h]);
			p = 0;
			do
			:: p < N ->
				if
				:: has(others(h), p) ->
					if
					:: state[p] == NOT_OPEN || state[p] == FINAL ->
						if
						:: version[p] > copyVersion[p] ->
							copyState[p] = state[p];
							copyVersion[p] = version[p]
						:: else
						fi;
						unload(p)
					:: else
					fi;
#ifndef TAKEOVER_WITHOUT_PEERS
					keepNewest(h, copyState[p], copyVersion[p])
#endif
				:: else
				fi;
				p++
			:: else -> break
			od
		fi;
		p = 0 }
	/* Second step of a takeover: read the store and install the newest record. */
	:: atomic { alive[h] && takingOver[h] ->
#ifndef TAKEOVER_WITHOUT_STORE
		keepNewest(h, storeState, storeVersion);
#endif
		version[h] = foundVersion[h];
		if
		:: foundState[h] == ABSENT -> state[h] = NOT_OPEN
#ifdef RERUN_STARTED
		:: foundState[h] == STARTED -> startCommit(h, NOT_OPEN)
#else
		:: foundState[h] == STARTED -> startCommit(h, FINAL)
#endif
		:: foundState[h] == NOT_OPEN || foundState[h] == FINAL -> startCommit(h, foundState[h])
		fi;
		endTakeover(h) }
	od
}

/* Delivers messages and store writes at any time or never. */
proctype Network(byte from) {
	byte to = 0;
end:
	do
	:: atomic { inFlight[from] != 0 ->
		if
		:: has(inFlight[from], 0) -> to = 0
		:: has(inFlight[from], 1) -> to = 1
		:: has(inFlight[from], 2) -> to = 2
		:: has(inFlight[from], N) -> to = N
		fi;
		inFlight[from] = inFlight[from] & ~(1 << to);
		if
		:: to == N ->
			if
			:: inFlightVersion[from] > storeVersion ->
				storeVersion = inFlightVersion[from];
				storeState = inFlightState[from]
			:: else
			fi;
			if
			:: alive[from] && inFlightVersion[from] == version[from] -> storeAcked[from] = 1
			:: else
			fi
		/* app/programs: HandleReplicate. */
		:: to < N && alive[to] && entered[to] > 0 && entered[to] <= inFlightEpoch[from] ->
			if
			:: inFlightVersion[from] > copyVersion[to] ->
				copyVersion[to] = inFlightVersion[from];
				copyState[to] = inFlightState[from]
			:: else
			fi;
			if
			:: alive[from] && inFlightVersion[from] == version[from] -> acks[from] = acks[from] | (1 << to)
			:: else
			fi
		:: else
		fi;
		if
		:: inFlight[from] == 0 ->
			inFlightState[from] = 0;
			inFlightVersion[from] = 0;
			inFlightEpoch[from] = 0
		:: else
		fi;
		to = 0 }
	od
}

/* Writes a membership record with these members and a new epoch. */
inline writeNextEpoch(set) {
	members[epoch + 1] = set;
	epoch++;
	owner[epoch] = owner[epoch - 1]
}

#ifdef KILLS_ONLY
#define canRemoveLive false
#else
#define canRemoveLive (losses < MAXLOSS)
#endif

/* Faults and membership changes. */
proctype Fleet() {
	byte h = 0;
end:
	do
	:: atomic {
		do
		:: h < N - 1 -> h++
		:: break
		od;
		if
		/* A host is killed. Its memory and copies are lost, messages in flight
		 * are not. */
		:: alive[h] && losses < MAXLOSS ->
			losses++;
			alive[h] = 0;
			hasRight[h] = 0;
			entered[h] = 0;
			step[h] = IDLE;
			copyState[h] = 0;
			copyVersion[h] = 0;
			unload(h)
		/* A host whose right to act has lapsed is removed. A majority remains. */
		:: has(members[epoch], h) && members[epoch] == ALL && epoch < MAXEPOCH && (!alive[h] || canRemoveLive) ->
			if
			:: alive[h] -> losses++
			:: else
			fi;
			hasRight[h] = 0;
			writeNextEpoch(ALL - (1 << h));
			if
			:: owner[epoch] == h -> owner[epoch] = (h + 1) % N
			:: owner[epoch] == h -> owner[epoch] = (h + 2) % N
			:: else
			fi
		/* A new incarnation joins: a killed host restarts, or a removed host has
		 * learned of its removal. */
		:: epoch < MAXEPOCH && entered[h] == 0 && (!alive[h] || !has(members[epoch], h)) && step[h] == IDLE ->
			alive[h] = 1;
			writeNextEpoch(members[epoch] | (1 << h));
			if
			:: owner[epoch] = h
			:: true
			fi;
			entered[h] = epoch;
			hasRight[h] = 1
#ifndef KILLS_ONLY
		/* The shard moves between live hosts. */
		:: epoch < MAXEPOCH && has(members[epoch], h) && owner[epoch] != h ->
			writeNextEpoch(members[epoch]);
			owner[epoch] = h
#endif
		:: else
		fi;
		h = 0 }
	od
}

init {
	atomic {
		members[1] = ALL;
		owner[1] = 0;
		entered[0] = 1; entered[1] = 1; entered[2] = 1;
		alive[0] = 1; alive[1] = 1; alive[2] = 1;
		hasRight[0] = 1; hasRight[1] = 1; hasRight[2] = 1;
		state[0] = NOT_OPEN;
		run Host(0);
		run Host(1);
		run Host(2);
		run Network(0);
		run Network(1);
		run Network(2);
		run Fleet()
	}
}
