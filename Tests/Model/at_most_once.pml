// variants: NO_FIRST_WINS NO_VOID_AFTER_GIVE_UP RETRY_MAY_HAVE_RUN
/*
 * Calls that may run at most once.
 *
 * Two side processes serve one key. A caller's request reaches either of them, and may be sent again by the
 * caller at the other. A side appends a claim to the log and reads the log up to its own claim; the first
 * claim in offset order wins. An append's answer may be lost, a side may give up waiting or die and come
 * back with nothing.
 */

#define SIDES 2
#define MAX_CLAIMS 5
#define MAX_RESTARTS 2

byte logOwner[MAX_CLAIMS];   /* which run of which side wrote the claim; a run is side + SIDES * incarnation */
byte logEnd = 0;

byte executions = 0;
byte notRunSaid = 0;         /* refusals that told the caller "not run" for a try that ran */
byte tries = 3;              /* requests that the caller still sends */
byte restarts = MAX_RESTARTS;

byte incarnation[SIDES];

inline run_call()
{
    executions++;
    assert(executions <= 1);
}

proctype side(byte self)
{
    byte writer;
    byte position;
    bool appended;
    bool gaveUp;
    bool ran;

idle:
    atomic {
        writer = self + SIDES * incarnation[self];
        appended = false;
        gaveUp = false;
        ran = false;
        if
        :: tries > 0 && logEnd < MAX_CLAIMS -> tries--
        :: tries == 0 || logEnd == MAX_CLAIMS -> goto end
        fi;
    }

    /* The append takes effect or not; its answer may be lost either way. */
    if
    :: atomic { logOwner[logEnd] = writer; position = logEnd; logEnd++; appended = true }
    :: skip
    fi;

    /* Waiting for the log's word may end before it comes: the claim is then void for this process. */
    if
    :: gaveUp = true
    :: skip
    :: restarts > 0 -> atomic {
        restarts--;
        incarnation[self]++;
        goto idle
    }
    fi;

#ifndef NO_VOID_AFTER_GIVE_UP
    if
    :: gaveUp -> goto idle
    :: else -> skip
    fi;
#else
    /* A claim given up on is taken up again by the caller's next try at the same process. */
    if
    :: gaveUp && appended && position == 0 ->
        run_call();
        ran = true
    :: else -> skip
    fi;
#endif

    if
    :: !appended -> goto idle     /* nothing in the log after a full read: refused, truthfully not run */
    :: else -> skip
    fi;

    /* Reads the log up to its own claim: the first wins. */
#ifdef NO_FIRST_WINS
    run_call();
#else
    if
    :: position == 0 -> run_call(); ran = true
    :: else -> goto idle
    fi;
#endif

    /* The answer to the caller may be lost; a try that may have run is not sent to the service again. */
#ifdef RETRY_MAY_HAVE_RUN
    if
    :: run_call()
    :: skip
    fi;
#endif
    goto idle;

end:
    skip
}

init {
    atomic {
        run side(0);
        run side(1);
    }
}
