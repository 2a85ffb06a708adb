/*
 * Configuration: changes by compare-and-swap, with lost answers and restarts.
 *
 * Models app/contracts (service.go, change.go).
 *
 * There are two hosts, one store and CHANGES operators. Each operator reads the
 * document, adds one change and applies the result at any host. A document consists
 * of a revision, the change that wrote it and the set of changes that it contains.
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
 * - Later operators never revert an accepted change.
 * - A failed Apply is not retried. A retry is another operator.
 *
 * Properties: a host never serves with a lower revision than before, also after
 * restarts. Accepted changes stay in the store, and changes that were reported as
 * not accepted never appear in it.
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
byte changes[REVISIONS + 1]; /* set of changes in the document */
bit archived[REVISIONS + 1]; /* the document is in the history */

byte revision[HOSTS];
bit ready[HOSTS];          /* Bootstrap has ended */
byte served[HOSTS];        /* last revision served */
byte restarts;

/* Writes in flight, by change. */
bit pending[CHANGES];
byte expectedVersion[CHANGES]; /* version for the compare-and-swap */
byte nextRevision[CHANGES]; /* revision to write */
byte newChanges[CHANGES];  /* set of changes to write */
bit done[CHANGES];         /* executed and answered */
bit refused[CHANGES];      /* the store has refused the write */
bit ended[CHANGES];        /* the host has answered the operator */

byte accepted;             /* set of changes reported as accepted */
byte rejected;             /* set of changes reported as not accepted */

inline checkProperties() {
	assert((changes[newest] & accepted) == accepted);
	assert((changes[newest] & rejected) == 0);
	assert(!ready[0] || revision[0] >= served[0]);
	assert(!ready[1] || revision[1] >= served[1]);
	served[0] = (ready[0] -> revision[0] : served[0]);
	served[1] = (ready[1] -> revision[1] : served[1])
}

/* Host h receives a document and accepts it if its revision is newer. */
inline offer(h, r) {
#ifdef OFFER_WITHOUT_REVISION
	revision[h] = r;
#else
	if
	:: r > revision[h] -> revision[h] = r
	:: else
	fi;
#endif
	checkProperties()
}

/* Sets r to any revision that the store ever held. */
inline pickRevision(r) {
	r = 0;
	do
	:: r < newest -> r++
	:: break
	od
}

proctype Operator(byte c) {
	byte h = 0;
	byte base = 0;
	byte readRevision = 0;
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
		pickRevision(readRevision);
#ifdef CHANGE_WITHOUT_BASE
		r = readRevision;
#else
		r = (readRevision > revision[h] -> readRevision : revision[h]);
#endif
		if
#ifndef CHANGE_WITHOUT_BASE
		:: r != base ->
			rejected = rejected | (1 << c);
			checkProperties();
			goto stop
#endif
		:: else ->
			archived[readRevision] = 1;
			pending[c] = 1;
			expectedVersion[c] = readRevision;
			nextRevision[c] = r + 1;
			newChanges[c] = changes[base] | (1 << c)
		fi;
		base = 0;
		readRevision = 0;
		r = 0
	}
	if
	:: atomic { done[c] ->
		accepted = accepted | (1 << c);
		archived[nextRevision[c]] = 1;
		offer(h, nextRevision[c]) }
	:: atomic { refused[c] ->
		rejected = rejected | (1 << c);
		checkProperties() }
	/* The answer is lost or late: resolveUnknownOutcome reads the document back. */
	:: atomic { true ->
#ifdef LOST_ANSWER_IS_NO
		rejected = rejected | (1 << c);
		checkProperties()
#else
#ifdef LOST_ANSWER_IS_YES
		accepted = accepted | (1 << c);
		checkProperties()
#else
		pickRevision(readRevision);
		if
		:: readRevision < nextRevision[c] /* unknown: the write may still be in flight */
#ifdef RESOLVE_BY_REVISION
		:: readRevision >= nextRevision[c] ->
			accepted = accepted | (1 << c);
			checkProperties()
#else
		:: readRevision == nextRevision[c] && writer[readRevision] == 1 + c ->
			accepted = accepted | (1 << c);
			archived[readRevision] = 1;
			offer(h, readRevision)
		:: readRevision == nextRevision[c] && writer[readRevision] != 1 + c ->
			rejected = rejected | (1 << c);
			checkProperties()
		:: readRevision > nextRevision[c] && !archived[nextRevision[c]] /* unknown */
		:: readRevision > nextRevision[c] && archived[nextRevision[c]] && writer[nextRevision[c]] == 1 + c ->
			accepted = accepted | (1 << c);
			checkProperties()
		:: readRevision > nextRevision[c] && archived[nextRevision[c]] && writer[nextRevision[c]] != 1 + c ->
			rejected = rejected | (1 << c);
			checkProperties()
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
		nextRevision[c] = 0;
		h = 0;
		readRevision = 0
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
			:: newest == expectedVersion[c] ->
#endif
				newest++;
				writer[newest] = 1 + c;
				changes[newest] = newChanges[c];
				done[c] = !ended[c];
				checkProperties()
			:: else -> refused[c] = !ended[c]
			fi;
			expectedVersion[c] = 0;
			newChanges[c] = 0
		:: else
		fi;
		c = 0 }
	/* The watch or a peer offers a document to a host. */
	:: atomic {
		pickRevision(r);
		if
		:: true -> offer(0, r)
		:: true -> offer(1, r)
		fi;
		r = 0 }
	/* Removes a document from the history. */
	:: atomic {
		pickRevision(r);
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
		checkProperties();
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
		checkProperties();
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
