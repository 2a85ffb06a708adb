/*
 * Configuration: changes by compare-and-swap, with lost answers and restarts.
 *
 * Models app/contracts (service.go, change.go).
 *
 * There are two hosts, one store and CHANGES operators. Each operator reads the
 * document, adds a mark of its own and applies the result at any host. A document
 * is a revision, the change that wrote it and the set of its marks.
 *
 * Abstractions:
 * - The version of the store key equals the revision, because each write raises
 *   both by one.
 * - A read during Apply may return any older document, as from a stale replica of
 *   the store. The read during Bootstrap returns the newest one.
 * - A write is executed at any time or never. Its answer may be lost; the host
 *   then reads the document back to learn the outcome.
 * - The watch and the peers offer any document that was ever written, in any
 *   order. This includes peers with old documents.
 * - Later operators never remove the mark of an accepted change.
 * - A failed Apply is not retried. A retry is another operator.
 *
 * Properties: a host never serves with a lower revision than before, also after
 * restarts. The marks of accepted changes stay in the store, and the marks of
 * changes that were reported as not accepted never appear in it.
 *
 * Faulty variants, each of which violates a property: OFFER_WITHOUT_REVISION,
 * SERVE_BEFORE_BOOTSTRAP, BOOTSTRAP_WITHOUT_STORE, CHANGE_WITHOUT_CAS,
 * CHANGE_WITHOUT_BASE, LOST_ANSWER_IS_NO, LOST_ANSWER_IS_YES,
 * RESOLVE_BY_REVISION.
 */

#define HOSTS 2
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef MAXRESTART
#define MAXRESTART 2
#endif
#define REVISIONS (CHANGES + 1)

/* All documents that the store ever held, by revision. Revision 0 is the first. */
byte newest;
byte writer[REVISIONS + 1]; /* 1 + number of the change */
byte marks[REVISIONS + 1];
bit archived[REVISIONS + 1];

byte revision[HOSTS];
bit ready[HOSTS];
byte served[HOSTS];
byte restarts;

/* Writes in flight, by change. */
bit pending[CHANGES];
byte expected[CHANGES];    /* version for the compare-and-swap */
byte target[CHANGES];      /* revision to write */
byte content[CHANGES];
bit done[CHANGES];         /* executed and answered */
bit refused[CHANGES];      /* the store has refused the write */
bit ended[CHANGES];        /* the host has answered the operator */

byte accepted;             /* marks reported as accepted */
byte rejected;             /* marks reported as not accepted */

inline verify() {
	assert((marks[newest] & accepted) == accepted);
	assert((marks[newest] & rejected) == 0);
	assert(!ready[0] || revision[0] >= served[0]);
	assert(!ready[1] || revision[1] >= served[1]);
	served[0] = (ready[0] -> revision[0] : served[0]);
	served[1] = (ready[1] -> revision[1] : served[1])
}

inline offer(h, r) {
#ifdef OFFER_WITHOUT_REVISION
	revision[h] = r;
#else
	if
	:: r > revision[h] -> revision[h] = r
	:: else
	fi;
#endif
	verify()
}

/* Sets r to any revision that the store ever held. */
inline pick(r) {
	r = 0;
	do
	:: r < newest -> r++
	:: break
	od
}

proctype Operator(byte c) {
	byte h = 0;
	byte base = 0;
	byte now = 0;
	byte r = 0;
	/* "config get" returns the document in effect at a host. */
	atomic {
		if
		:: ready[0] -> base = revision[0]
		:: ready[1] -> base = revision[1]
		fi
	}
	/* app/contracts: Apply at a host. It reads the document, compares the revision
	 * with the base and starts the write. */
	atomic {
		if
		:: ready[0] -> h = 0
		:: ready[1] -> h = 1
		fi;
		pick(now);
#ifdef CHANGE_WITHOUT_BASE
		r = now;
#else
		r = (now > revision[h] -> now : revision[h]);
#endif
		if
#ifndef CHANGE_WITHOUT_BASE
		:: r != base ->
			rejected = rejected | (1 << c);
			verify();
			goto stop
#endif
		:: else ->
			archived[now] = 1;
			pending[c] = 1;
			expected[c] = now;
			target[c] = r + 1;
			content[c] = marks[base] | (1 << c)
		fi;
		base = 0;
		now = 0;
		r = 0
	}
	if
	:: atomic { done[c] ->
		accepted = accepted | (1 << c);
		archived[target[c]] = 1;
		offer(h, target[c]) }
	:: atomic { refused[c] ->
		rejected = rejected | (1 << c);
		verify() }
	/* The answer is lost or late: resolveUnknownOutcome reads the document back. */
	:: atomic { true ->
#ifdef LOST_ANSWER_IS_NO
		rejected = rejected | (1 << c);
		verify()
#else
#ifdef LOST_ANSWER_IS_YES
		accepted = accepted | (1 << c);
		verify()
#else
		pick(now);
		if
		:: now < target[c] /* unknown: the write may still be in flight */
#ifdef RESOLVE_BY_REVISION
		:: now >= target[c] ->
			accepted = accepted | (1 << c);
			verify()
#else
		:: now == target[c] && writer[now] == 1 + c ->
			accepted = accepted | (1 << c);
			archived[now] = 1;
			offer(h, now)
		:: now == target[c] && writer[now] != 1 + c ->
			rejected = rejected | (1 << c);
			verify()
		:: now > target[c] && !archived[target[c]] /* unknown */
		:: now > target[c] && archived[target[c]] && writer[target[c]] == 1 + c ->
			accepted = accepted | (1 << c);
			verify()
		:: now > target[c] && archived[target[c]] && writer[target[c]] != 1 + c ->
			rejected = rejected | (1 << c);
			verify()
#endif
		fi
#endif
#endif
	   }
	fi;
stop:
	/* The write may still be executed, but the host no longer waits for the answer. */
	atomic {
		ended[c] = 1;
		done[c] = 0;
		refused[c] = 0;
		target[c] = 0;
		h = 0;
		now = 0
	}
}

proctype Store() {
	byte c = 0;
	byte r = 0;
end:
	do
	/* Executes a write that is in flight. */
	:: atomic {
		do
		:: c < CHANGES - 1 -> c++
		:: break
		od;
		if
		:: pending[c] ->
			pending[c] = 0;
			if
#ifdef CHANGE_WITHOUT_CAS
			:: newest < REVISIONS ->
#else
			:: newest == expected[c] ->
#endif
				newest++;
				writer[newest] = 1 + c;
				marks[newest] = content[c];
				done[c] = !ended[c];
				verify()
			:: else -> refused[c] = !ended[c]
			fi;
			expected[c] = 0;
			content[c] = 0
		:: else
		fi;
		c = 0 }
	/* The watch or a peer offers a document to a host. */
	:: atomic {
		pick(r);
		if
		:: true -> offer(0, r)
		:: true -> offer(1, r)
		fi;
		r = 0 }
	/* Removes a document from the history. */
	:: atomic {
		pick(r);
		archived[r] = 0;
		r = 0 }
	od
}

proctype Restart() {
	byte h = 0;
	byte r = 0;
end:
	do
	:: atomic { restarts < MAXRESTART ->
		if
		:: h = 0
		:: h = 1
		fi;
		restarts++;
		revision[h] = 0;
#ifdef SERVE_BEFORE_BOOTSTRAP
		verify();
#endif
		ready[h] = 0;
		h = 0 }
	/* app/contracts: Bootstrap. It needs an answer of the store. */
	:: atomic { !ready[0] || !ready[1] ->
		if
		:: !ready[0] -> h = 0
		:: !ready[1] -> h = 1
		fi;
#ifdef BOOTSTRAP_WITHOUT_STORE
		if
		:: r = revision[1 - h]
		:: r = 0 /* the peer does not answer */
		fi;
#else
		r = newest;
#endif
		offer(h, r);
		ready[h] = 1;
		verify();
		h = 0;
		r = 0 }
	od
}

init {
	byte c = 0;
	atomic {
		ready[0] = 1;
		ready[1] = 1;
		do
		:: c < CHANGES ->
			run Operator(c);
			c++
		:: else -> break
		od;
		run Store();
		run Restart()
	}
}
