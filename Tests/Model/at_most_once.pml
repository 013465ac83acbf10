// variants: NO_FIRST_WINS RUN_AFTER_GIVE_UP RELEASE_AFTER_RUN RELEASE_FOR_OLD_SELF MEMORY_ONLY
/*
 * Model of requests that may run at most once, for one idempotency key.
 *
 * A side process claims the key in a log before it runs the request. The first claim in offset order holds the key,
 * until its release. An append may be lost, or take effect twice and late. A side process that gives up on a claim
 * never runs the request under it, and releases the key. A side process that is only frozen may be taken for dead
 * and replaced.
 * Checked: the request is executed at most once. Each variant of the first line breaks one rule.
 */

#define MAX_CLAIMS 3
#define MAX_RECORDS 6
#define MAX_REPEATS 1

#define CLAIM 1
#define RELEASE 2

typedef log_record {
    byte kind;
    byte claim;
}

log_record records[MAX_RECORDS];
byte end = 0;

byte claims = 0;             /* number of claims so far; their ids start at 1 */
bool sent[MAX_CLAIMS + 1];   /* claims whose append was sent; it may be lost */
byte executions = 0;
byte repeats = 0;
bool replaced = false;
byte oldSelfClaim = 0;       /* newest claim of side process 0, as its replacement finds it */

inline append(recordKind, id) {
    atomic {
        if
        :: end < MAX_RECORDS ->
            records[end].kind = recordKind;
            records[end].claim = id;
            end++
        :: else -> skip
        fi
    }
}

/* Folds the log up to the first record of claim `id`: `found` if it is in the log, `won` if it then holds the key. */
inline fold_to(id) {
    d_step {
        position = 0;
        holder = 0;
        found = false;
        won = false;
        do
        :: position == end || found -> break
        :: else ->
            if
            :: records[position].kind == CLAIM && holder == 0 -> holder = records[position].claim
            :: records[position].kind == RELEASE && holder == records[position].claim -> holder = 0
            :: else -> skip
            fi;
            if
            :: records[position].kind == CLAIM && records[position].claim == id ->
                found = true;
                won = (holder == id)
            :: else -> skip
            fi;
            position++
        od;
        position = 0;
        holder = 0
    }
}

inline execute() {
    d_step {
        executions++;
        assert(executions <= 1)
    }
}

/* A side process: 0 and 1 at first, 2 replaces 0. The caller may retry at any of them, any number of times. */
proctype side(byte self) {
    byte id = 0;
    byte position = 0;
    byte holder = 0;
    bool found = false;
    bool won = false;

#ifdef RELEASE_FOR_OLD_SELF
    if
    :: self == 2 && oldSelfClaim != 0 -> append(RELEASE, oldSelfClaim)
    :: else -> skip
    fi;
#endif

    do
    :: atomic { claims < MAX_CLAIMS -> claims++; id = claims; sent[id] = true };
        if
        :: self == 0 -> oldSelfClaim = id
        :: else -> skip
        fi;
#ifdef MEMORY_ONLY
        /* Without a log: the side process remembers which requests it ran. */
        if
        :: !won -> won = true; execute()
        :: else -> skip
        fi
#else
        /* The append takes effect now, or is lost, or takes effect later (late_append). */
        if
        :: append(CLAIM, id)
        :: skip
        fi;
        fold_to(id);
        if
        :: !found -> skip                    /* gave up: the claim was not seen in the log */
        :: found -> 
            if
            :: skip                          /* gave up, although the claim is in the log */
#ifdef RUN_AFTER_GIVE_UP
                if
                :: won -> append(RELEASE, id); execute()
                :: else -> skip
                fi
#else
                if
                :: won -> append(RELEASE, id)
                :: else -> skip
                fi
#endif
#ifdef NO_FIRST_WINS
            :: execute()
#else
            :: won ->
                if
                :: execute();
#ifdef RELEASE_AFTER_RUN
                    /* The upstream's answer was lost, and the request is taken for not run. */
                    if
                    :: append(RELEASE, id)
                    :: skip
                    fi
#endif
                :: append(RELEASE, id)       /* the upstream refused the connection: certainly not run */
                fi
            :: !won -> skip                  /* another claim holds the key: the request may have run */
#endif
            fi
        fi
#endif
    :: self == 0 && !replaced -> atomic { replaced = true; run side(2) }
    :: break
    od
}

/* An append takes effect late or a second time, also after its side process gave up on it. */
active proctype late_append() {
    do
    :: sent[1] && repeats < MAX_REPEATS -> repeats++; append(CLAIM, 1)
    :: sent[2] && repeats < MAX_REPEATS -> repeats++; append(CLAIM, 2)
    :: break
    od
}

init {
    atomic {
        run side(0);
        run side(1)
    }
}
