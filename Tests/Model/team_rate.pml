// variants: NO_GRACE NO_DROP NO_CAP ADD_GRANTS NO_FRESHNESS NO_DEBIT RESTART_HOLDS SETTLE_IN_HAND NO_RUN
/*
 * One share of a team's rate.
 *
 * Entry 0 holds the share in the first epoch, entry 1 in the second. Each may spend its own level, or
 * credit that the other granted. Grants and settlements are totals; they may be lost, doubled and late.
 * An entry spends only while it has read the log to its end at most F ticks ago. Either entry may be
 * frozen and woken (it then simply takes no step for a while), and entry 0 may restart.
 * A twin, a second process, runs under entry 1's name; the second epoch lists the run of one of the two.
 * The bound is a bucket that starts full: every window's use is within burst and rate.
 */

#define BURST 2
#define F 1
#define GRACE (2 * F)
#define END 6
#define MAX_GRANTED 4

byte now = 0;
byte logEpoch = 1;
short bound = BURST;

byte epoch[2] = { 1, 1 };      /* newest epoch that the entry has learned */
byte evidence[2];              /* when it last read the log to its end */
byte learnedAt = 0;            /* when entry 1 learned of the second epoch */
bool holds0 = true;            /* entry 0 still has the ledger of the first epoch */
bool restarted = false;

byte listedRun = 0;            /* of entry 1 in the second epoch: 1 for it, 2 for the twin */
bool twinKnows = false;        /* the twin has learned of the second epoch */
byte twinLearnedAt = 0;
byte twinEvidence = 0;
short twinLevel = 0;

short level[2] = { BURST, 0 };
byte granted[2];               /* by the holder, to the other entry */
byte settled[2];               /* as the holder has heard */

byte received[2];              /* total of the grants that came to the other entry */
byte used[2];                  /* spent or destroyed by the other entry */
bool dropped[2];               /* the other entry dropped the account */

byte grantUnderWay[2];         /* total in a grant that may still come, 0 for none */
byte settleUnderWay[2];

#define OUTSTANDING(h) (granted[h] - settled[h])
#define IN_HAND(h) (received[h] - used[h])

#ifdef NO_FRESHNESS
#define FRESH(e) true
#else
#define FRESH(e) (now - evidence[e] <= F)
#endif

#ifdef NO_RUN
#define LISTED(run) true
#else
#define LISTED(run) (listedRun == run)
#endif

#ifdef NO_GRACE
#define OPEN1 (epoch[1] == 2 && LISTED(1))
#define OPEN_TWIN (twinKnows && LISTED(2))
#else
#define OPEN1 (epoch[1] == 2 && LISTED(1) && now >= learnedAt + GRACE)
#define OPEN_TWIN (twinKnows && LISTED(2) && now >= twinLearnedAt + GRACE)
#endif
#define OPEN0 (epoch[0] == 1 && holds0)
#define OPEN(h) ((h == 0 && OPEN0) || (h == 1 && OPEN1))

inline use()
{
    bound--;
    assert(bound >= 0);
}

inline refill(h)
{
#ifdef NO_CAP
    if
    :: level[h] < BURST -> level[h]++
    :: else -> skip
    fi
#else
    if
    :: level[h] + OUTSTANDING(h) < BURST -> level[h]++
    :: else -> skip
    fi
#endif
}

inline tick()
{
    now++;
    if
    :: bound < BURST -> bound++
    :: else -> skip
    fi;
    if
    :: OPEN0 -> refill(0)
    :: else -> skip
    fi;
    if
    :: OPEN1 -> refill(1)
    :: else -> skip
    fi;
    if
    :: OPEN_TWIN && twinLevel < BURST -> twinLevel++
    :: else -> skip
    fi
}

/* Reads the log to its end, and drops the credit of a holder that lost the share. */
inline read_log(e)
{
    evidence[e] = now;
    if
    :: epoch[e] < logEpoch ->
        epoch[e] = logEpoch;
        if
        :: e == 1 ->
            learnedAt = now;
#ifndef NO_DROP
            used[0] = received[0];
            dropped[0] = true;
#endif
        :: else -> skip
        fi
    :: else -> skip
    fi
}

active proctype fleet()
{
    byte h;
    do
    :: now < END -> atomic { tick() }
    :: atomic { logEpoch == 1 -> logEpoch = 2; listedRun = 1 }
    :: atomic { logEpoch == 1 -> logEpoch = 2; listedRun = 2 }
    :: atomic {
        twinEvidence < now || (!twinKnows && logEpoch == 2) ->
        twinEvidence = now;
        if
        :: !twinKnows && logEpoch == 2 ->
            twinKnows = true;
            twinLearnedAt = now
        :: else -> skip
        fi
    }
    :: atomic { evidence[0] < now || epoch[0] < logEpoch -> read_log(0) }
    :: atomic { evidence[1] < now || epoch[1] < logEpoch -> read_log(1) }

    /* An entry spends its own level. */
    :: atomic { OPEN(0) && FRESH(0) && level[0] > 0 -> level[0]--; use() }
    :: atomic { OPEN(1) && FRESH(1) && level[1] > 0 -> level[1]--; use() }

    :: atomic { OPEN_TWIN && now - twinEvidence <= F && twinLevel > 0 -> twinLevel--; use() }

    /* A holder grants one token: the debit comes before the message. */
    :: atomic {
        if
        :: h = 0
        :: h = 1
        fi;
        if
        :: OPEN(h) && level[h] > 0 && granted[h] < MAX_GRANTED && (h == 0 || epoch[0] == 2) ->
            granted[h]++;
#ifndef NO_DEBIT
            level[h]--;
#endif
            grantUnderWay[h] = granted[h]
        :: else -> skip
        fi
    }

    /* A grant comes, and may come again; one that is overtaken by the next is lost. */
    :: atomic {
        if
        :: h = 0
        :: h = 1
        fi;
        if
        :: grantUnderWay[h] > 0 && !dropped[h] && received[h] < MAX_GRANTED ->
#ifdef ADD_GRANTS
            received[h]++
#else
            if
            :: grantUnderWay[h] > received[h] -> received[h] = grantUnderWay[h]
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi
    }

    /* The other entry spends credit. */
    :: atomic { FRESH(1) && !dropped[0] && IN_HAND(0) > 0 -> used[0]++; use() }
    :: atomic { FRESH(0) && IN_HAND(1) > 0 -> used[1]++; use() }

    /* It tells what it has used, some time later. */
    :: atomic {
        if
        :: h = 0
        :: h = 1
        fi;
#ifdef SETTLE_IN_HAND
        settleUnderWay[h] = received[h]
#else
        settleUnderWay[h] = used[h]
#endif
    }
    :: atomic {
        if
        :: h = 0
        :: h = 1
        fi;
        if
        :: settleUnderWay[h] > settled[h] && settleUnderWay[h] <= granted[h] -> settled[h] = settleUnderWay[h]
        :: else -> skip
        fi
    }

    /* Entry 0 restarts under its name: it cannot know what its former process granted. */
    :: atomic {
        !restarted && holds0 ->
        restarted = true;
#ifdef RESTART_HOLDS
        level[0] = BURST;
        granted[0] = 0;
        settled[0] = 0
#else
        holds0 = false
#endif
    }
    :: now == END -> break
    od
}
