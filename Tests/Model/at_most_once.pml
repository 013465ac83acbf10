// variants: NO_FIRST_WINS RUN_AFTER_GIVE_UP RELEASE_AFTER_RUN RELEASE_FOR_OLD_SELF MEMORY_ONLY
/*
 * Calls that may run at most once, for one idempotency key.
 *
 * Side processes claim the key in a log before they run the call; the first claim in offset order holds the key.
 * An append may be lost, or take effect twice and late. A side that gives up on a claim never runs it and
 * releases the key. A side may be taken for dead and replaced while it was only frozen.
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

byte claims = 0;             /* ids 1.. of the claims made so far */
bool sent[MAX_CLAIMS + 1];   /* claims whose append was tried */
byte executions = 0;
byte repeats = 0;
bool replaced = false;
byte oldSelfClaim = 0;       /* claim of the first side that its replacement finds */

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

/* Folds the log up to the first record of claim `id`; `found` says whether it is there, `won` whether it holds the key. */
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

/* The caller may try again and again, at any side. */
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
        /* Another way: the side remembers by itself which keys it ran. */
        if
        :: !won -> won = true; execute()
        :: else -> skip
        fi
#else
        /* The append takes effect, or is lost, or takes effect later by itself. */
        if
        :: append(CLAIM, id)
        :: skip
        fi;
        fold_to(id);
        if
        :: !found -> skip                    /* given up: nothing in the log that is known of */
        :: found -> 
            if
            :: skip                          /* given up just now, though the claim is there */
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
                    /* The upstream's answer was lost, and the call is taken for not run. */
                    if
                    :: append(RELEASE, id)
                    :: skip
                    fi
#endif
                :: append(RELEASE, id)       /* the upstream refused the connection: surely not run */
                fi
            :: !won -> skip                  /* another claim holds the key: may have run */
#endif
            fi
        fi
#endif
    :: self == 0 && !replaced -> atomic { replaced = true; run side(2) }
    :: break
    od
}

/* An append that was given up on takes effect by itself, late or once more. */
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
