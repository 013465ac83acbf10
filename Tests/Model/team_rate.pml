// variants: NO_GRACE NO_DROP NO_CAP ADD_GRANTS NO_FRESHNESS NO_DEBIT RESTART_HOLDS SETTLE_IN_HAND NO_RUN
/*
 * Model of one share of a team's rate.
 *
 * Entry 0 holds the share in the first membership epoch, entry 1 in the second. Each may spend from the token
 * bucket of its share, or credit that the other entry granted. Grants and settlements carry totals; they may be
 * lost, duplicated and late. An entry spends only if it has read the log to its end at most F ticks ago. Either
 * entry may be frozen and resumed (it takes no step for a while), and entry 0 may restart.
 * A twin is a second process under entry 1's name; the second epoch lists the run id of one of the two.
 * Checked: a bucket that starts full never runs below 0, so that the use in any window is within burst and rate.
 * Each variant of the first line breaks one rule.
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
bool holds0 = true;            /* entry 0 still knows what it granted in the first epoch */
bool restarted = false;

byte listedRun = 0;            /* run that the second epoch lists for entry 1's name: 1 for entry 1, 2 for the twin */
bool twinKnows = false;        /* the twin has learned of the second epoch */
byte twinLearnedAt = 0;
byte twinEvidence = 0;
short twinLevel = 0;

short level[2] = { BURST, 0 }; /* tokens in the bucket of each entry's share */
byte granted[2];               /* total that the holder granted to the other entry */
byte settled[2];               /* total of `used` that the holder has learned */

byte received[2];              /* total of the grants that the other entry received */
byte used[2];                  /* spent or destroyed by the other entry */
bool dropped[2];               /* the other entry dropped its credit of this holder and accepts no more */

byte grantUnderWay[2];         /* total in a grant that may still arrive; 0 if there is none */
byte settleUnderWay[2];        /* the same for a settlement */

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

/* Reads the log to its end. Entry 1, which becomes the holder, drops its credit of entry 0, which lost the share. */
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

    /* An entry spends from the bucket of its own share. */
    :: atomic { OPEN(0) && FRESH(0) && level[0] > 0 -> level[0]--; use() }
    :: atomic { OPEN(1) && FRESH(1) && level[1] > 0 -> level[1]--; use() }

    :: atomic { OPEN_TWIN && now - twinEvidence <= F && twinLevel > 0 -> twinLevel--; use() }

    /* A holder grants one token. It debits its bucket before it sends the message. */
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

    /* A grant arrives, and may arrive again. One that the next grant overtakes is lost. */
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

    /* The other entry spends credit that it received. */
    :: atomic { FRESH(1) && !dropped[0] && IN_HAND(0) > 0 -> used[0]++; use() }
    :: atomic { FRESH(0) && IN_HAND(1) > 0 -> used[1]++; use() }

    /* The other entry sends the total that it used; the message arrives some time later. */
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

    /* Entry 0 restarts under its name. The new process cannot know what the earlier one granted. */
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
