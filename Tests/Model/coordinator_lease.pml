// variants: KEEP_TERM_OVER_OTHERS SKIP_PAUSE_ON_OWN_RECORD SKIP_PAUSE_AFTER_RESTART
/*
 * Model of the coordinator lease.
 *
 * Two processes append records to a log under the condition that it ends where they know it to end, and the holder
 * gives orders under its fencing token. Appends are lost, carried out late or carried out without an answer. A
 * process may take no step for any time, as if it were cut off or suspended, and the first may restart once.
 * Time is counted in periods. The holder counts its lease from before its append, the other process from when it
 * reads the record. An order may arrive one period late, so a new holder waits for that long.
 * Checked: the tokens of orders never go back, two holders have different ones, and their orders do not mix. Each
 * variant of the first line breaks one rule.
 */

#define MAX_RECORDS 4
#define MAX_TIME 4
#define LEASE 2
#define PAUSE 1
#define LATENESS 1
#define NOBODY 2

byte now = 0;

/* The newest record of the log; its holder's run tells restarts apart. */
byte recordHolder = NOBODY;
bit recordRun;
byte recordEnd = 0;
bool recordComplete;           /* its holder had waited for its predecessor's orders */

/* An append of each process that may be carried out late. */
bool hasLate[2];
byte lateAt[2];
bit lateRun[2];
bool lateComplete[2];

/* What a process knows of the newest record. */
bit runOf[2];
bool knows[2];
byte knownHolder[2] = NOBODY;
bit knownRun[2];
byte knownEnd[2];
bool knownComplete[2];
byte knownSince[2];

/* The term of a process. */
bool hasTerm[2];
byte fence[2];
byte heldUntil[2];
byte ordersFrom[2];

/* The newest order of any process. */
byte orderHolder = NOBODY;
byte orderFence = 0;
byte orderAt = 0;

#define IS_OWN(p) (knownHolder[p] == p && knownRun[p] == runOf[p])
#define IS_FREE(p) (knownHolder[p] == NOBODY || knownHolder[p] == p || now - knownSince[p] >= LEASE)
#define MAY_ORDER(p) (hasTerm[p] && now < heldUntil[p] && now >= ordersFrom[p])

#ifdef SKIP_PAUSE_ON_OWN_RECORD
#define IS_PREDECESSOR_DONE(p) (knownEnd[p] == 0 || IS_OWN(p) || (knownHolder[p] == p && knownComplete[p]))
#else
#ifdef SKIP_PAUSE_AFTER_RESTART
#define IS_PREDECESSOR_DONE(p) (knownEnd[p] == 0 || (knownHolder[p] == p && (knownComplete[p] || !IS_OWN(p))))
#else
#define IS_PREDECESSOR_DONE(p) (knownEnd[p] == 0 || (knownHolder[p] == p && knownComplete[p]))
#endif
#endif

inline end_term(p)
{
	hasTerm[p] = false;
	fence[p] = 0;
	heldUntil[p] = 0;
	ordersFrom[p] = 0
}

inline forget_record(p)
{
	knows[p] = false;
	knownHolder[p] = NOBODY;
	knownRun[p] = 0;
	knownEnd[p] = 0;
	knownComplete[p] = false;
	knownSince[p] = 0
}

inline read_record(p)
{
	knownSince[p] = now;
	knows[p] = true;
	knownHolder[p] = recordHolder;
	knownRun[p] = recordRun;
	knownEnd[p] = recordEnd;
	knownComplete[p] = recordComplete;
#ifndef KEEP_TERM_OVER_OTHERS
	if
	:: !IS_OWN(p) -> end_term(p)
	:: else -> skip
	fi
#endif
}

/* The append of process p at the known end was acknowledged. */
inline begin_or_renew_term(p)
{
	if
#ifdef KEEP_TERM_OVER_OTHERS
	:: hasTerm[p] && IS_OWN(p) -> skip
#else
	:: hasTerm[p] -> skip
#endif
	:: else ->
		hasTerm[p] = true;
		fence[p] = recordEnd;
		if
		:: IS_PREDECESSOR_DONE(p) -> ordersFrom[p] = now
		:: else -> ordersFrom[p] = now + PAUSE
		fi
	fi;
	heldUntil[p] = now + LEASE;
	knownSince[p] = now;
	knownHolder[p] = p;
	knownRun[p] = runOf[p];
	knownEnd[p] = recordEnd;
	knownComplete[p] = (now >= ordersFrom[p])
}

inline append_record(p)
{
	complete = (hasTerm[p] -> (now >= ordersFrom[p]) : IS_PREDECESSOR_DONE(p));
	if
	:: knownEnd[p] == recordEnd && recordEnd < MAX_RECORDS ->
		recordHolder = p;
		recordRun = runOf[p];
		recordEnd++;
		recordComplete = complete;
		if
		:: begin_or_renew_term(p)
		:: knows[p] = false        /* the answer is lost */
		fi
	:: !hasLate[p] ->                  /* carried out late, or never */
		hasLate[p] = true;
		lateAt[p] = knownEnd[p];
		lateRun[p] = runOf[p];
		lateComplete[p] = complete;
		knows[p] = false
	:: knownEnd[p] != recordEnd ->
		forget_record(p);
		end_term(p)
	:: else -> skip
	fi;
	complete = false
}

inline end_late(p)
{
	if
	:: lateAt[p] == recordEnd && recordEnd < MAX_RECORDS ->
		recordHolder = p;
		recordRun = lateRun[p];
		recordEnd++;
		recordComplete = lateComplete[p]
	:: true -> skip
	fi;
	hasLate[p] = false;
	lateAt[p] = 0;
	lateRun[p] = 0;
	lateComplete[p] = false
}

proctype member(byte p)
{
	bool complete;
end:
	do
	:: atomic { !knows[p] || (!IS_OWN(p) && knownEnd[p] != recordEnd) -> read_record(p) }
	:: atomic { knows[p] && IS_OWN(p) && heldUntil[p] != now + LEASE -> append_record(p) }
	:: atomic { knows[p] && !IS_OWN(p) && IS_FREE(p) -> append_record(p) }
	:: atomic { hasLate[p] -> end_late(p) }
	:: atomic { p == 0 && runOf[p] == 0 && recordEnd > 0 -> runOf[p] = 1; forget_record(p); end_term(p) }
	:: atomic { MAY_ORDER(p) && (orderHolder != p || orderFence != fence[p] || orderAt != now) ->
		assert(fence[p] >= orderFence);
		assert(orderHolder == NOBODY || orderHolder == p || fence[p] != orderFence);
		assert(orderHolder == NOBODY || orderHolder == p || now - orderAt > LATENESS);
		orderHolder = p;
		orderFence = fence[p];
		orderAt = now }
	od
}

proctype clock()
{
end:
	do
	:: now < MAX_TIME -> now++
	od
}

init
{
	atomic {
		run member(0);
		run member(1);
		run clock()
	}
}
