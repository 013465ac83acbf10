// variants: NO_RESERVATION RELEASE_ON_LOST_REPLY NO_FENCE_ORDER OPEN_BEFORE_SETTLED OLD_REPORT_RELEASES
/*
 * Model of the memory ledger that a side process keeps for one engine.
 *
 * The engine has memory for one of two models. A side process reserves memory before it sends an order to load, and
 * releases it only on a report that is newer than the order and shows that the order is settled. Copies of orders
 * may be late or lost. The process may be replaced at any time by one that knows nothing, while copies that the
 * earlier process sent are still under way. An engine of kind 0 rejects orders with an old fencing token. Kind 1
 * ignores the number; there, no copy arrives later than the settling time, for which a new process waits.
 * Checked: the engine never loads more models than its memory holds. Each variant of the first line breaks one rule.
 */

#define ROOM 1
#define MODELS 2
#define COPIES 3
#define MAX_RESTARTS 2
#define MAX_ORDERS 5

#define LOAD 1
#define UNLOAD 2
#define PROBE 3

/* Copies of orders under way. */
byte copyAction[COPIES];   /* 0: this slot is free */
byte copyModel[COPIES];
byte copyFence[COPIES];

byte engineKind;
byte highestFence = 0;
byte engineSequence = 0;
bool resident[MODELS];

/* The newest report of the engine, and the one before it, which may still arrive. */
byte newSequence = 0;
bool newResident[MODELS];
byte oldSequence = 0;
bool oldResident[MODELS];

/* State of the current side process. */
byte fence = 1;
byte restarts = 0;
byte orders = 0;
bool opened = false;       /* may send orders to load and unload */
bool fenceTaken = false;   /* the engine answered a probe with this process's fencing token */
byte fenceTakenAt = 0;
bool believed[MODELS];     /* loaded, according to the newest report that it received */
byte seenSequence = 0;
bool outstanding[MODELS];  /* memory is reserved for an order to load */
bool accepted[MODELS];
byte acceptedAt[MODELS];
bool unloading[MODELS];
byte unloadAcceptedAt[MODELS];
bool unloadAccepted[MODELS];

#define used (resident[0] + resident[1])
#define committed ((believed[0] || outstanding[0]) + (believed[1] || outstanding[1]))

inline snapshot()
{
    oldSequence = newSequence;
    oldResident[0] = newResident[0]; oldResident[1] = newResident[1];
    newSequence = engineSequence;
    newResident[0] = resident[0]; newResident[1] = resident[1];
}

/* The engine executes an order. Its reply reaches the process that sent the order, or is lost. */
inline perform(action, model, by, replies)
{
    if
    :: engineKind == 0 && by < highestFence -> skip
    :: else ->
        if
        :: by > highestFence -> highestFence = by
        :: else -> skip
        fi;
        engineSequence++;
        if
        :: action == LOAD -> resident[model] = true
        :: action == UNLOAD -> resident[model] = false
        :: action == PROBE -> skip
        fi;
        assert(used <= ROOM);
        snapshot();
        if
        :: replies && by == fence ->
            if
            :: action == LOAD && outstanding[model] -> accepted[model] = true; acceptedAt[model] = engineSequence
            :: action == UNLOAD -> unloadAccepted[model] = true; unloadAcceptedAt[model] = engineSequence
            :: action == PROBE -> fenceTaken = true; fenceTakenAt = engineSequence
            :: else -> skip
            fi
        :: else -> skip
        fi
    fi
}

/* Sends an order: it is delayed as a copy, or executed at once, and its reply arrives or is lost. */
inline send(action, model)
{
    if
    :: copyAction[0] == 0 -> copyAction[0] = action; copyModel[0] = model; copyFence[0] = fence; lostReply(action, model)
    :: copyAction[0] != 0 && copyAction[1] == 0 ->
        copyAction[1] = action; copyModel[1] = model; copyFence[1] = fence; lostReply(action, model)
    :: copyAction[0] != 0 && copyAction[1] != 0 && copyAction[2] == 0 ->
        copyAction[2] = action; copyModel[2] = model; copyFence[2] = fence; lostReply(action, model)
    :: true -> perform(action, model, fence, true)
    :: true -> perform(action, model, fence, false); lostReply(action, model)
    fi
}

inline lostReply(action, model)
{
#ifdef RELEASE_ON_LOST_REPLY
    if
    :: action == LOAD -> outstanding[model] = false
    :: else -> skip
    fi
#else
    skip
#endif
}

inline deliver(index)
{
    if
    :: true -> perform(copyAction[index], copyModel[index], copyFence[index], false)
    :: skip /* the copy is lost */
    fi;
    copyAction[index] = 0
}

inline takeReport(sequence, first, second)
{
    believed[0] = first; believed[1] = second;
    seenSequence = sequence;
    settle(0); settle(1)
}

inline settle(model)
{
    if
    :: outstanding[model] && accepted[model] && seenSequence >= acceptedAt[model] ->
        outstanding[model] = false; accepted[model] = false
    :: else -> skip
    fi;
    if
    :: unloading[model] && unloadAccepted[model] && seenSequence >= unloadAcceptedAt[model] && !believed[model] ->
        unloading[model] = false; unloadAccepted[model] = false
    :: else -> skip
    fi
}

/* An order whose reply was lost is sent again. The engine executes an order id once, so that the process only learns
 * the reply. */
inline askAgain(model)
{
    if
    :: outstanding[model] && !accepted[model] && copyAction[0] == 0 && copyAction[1] == 0 && copyAction[2] == 0 && resident[model] -> accepted[model] = true; acceptedAt[model] = engineSequence
    :: else -> skip
    fi
}

inline mayOpen()
{
    if
#ifdef OPEN_BEFORE_SETTLED
    :: engineKind == 1 -> opened = true
#else
    :: engineKind == 1 && copyAction[0] == 0 && copyAction[1] == 0 && copyAction[2] == 0 && seenSequence == engineSequence ->
        opened = true
#endif
#ifdef NO_FENCE_ORDER
    :: engineKind == 0 -> opened = true
#else
    :: engineKind == 0 && fenceTaken && seenSequence >= fenceTakenAt -> opened = true
#endif
    :: else -> skip
    fi
}

inline restart()
{
    restarts++;
    fence++;
    opened = false; fenceTaken = false; seenSequence = 0;
    believed[0] = false; believed[1] = false;
    outstanding[0] = false; outstanding[1] = false;
    accepted[0] = false; accepted[1] = false;
    unloading[0] = false; unloading[1] = false;
    unloadAccepted[0] = false; unloadAccepted[1] = false
}

active proctype world()
{
    byte model;
    if
    :: engineKind = 0
    :: engineKind = 1
    fi;
    end:
    do
    :: opened && orders < MAX_ORDERS -> atomic {
        if :: model = 0 :: model = 1 fi;
        if
#ifdef NO_RESERVATION
        :: !believed[model] && !outstanding[model] && believed[0] + believed[1] < ROOM ->
#else
        :: !believed[model] && !outstanding[model] && !unloading[model] && committed < ROOM ->
#endif
            orders++; outstanding[model] = true; send(LOAD, model)
        :: else -> skip
        fi }
    :: opened && orders < MAX_ORDERS -> atomic {
        if :: model = 0 :: model = 1 fi;
        if
        :: believed[model] && !outstanding[model] && !unloading[model] -> orders++; unloading[model] = true; send(UNLOAD, model)
        :: else -> skip
        fi }
    :: !opened && engineKind == 0 && !fenceTaken && orders < MAX_ORDERS -> atomic { orders++; send(PROBE, 0) }
    :: atomic { true -> mayOpen() }
    :: atomic { copyAction[0] != 0 -> deliver(0) }
    :: atomic { copyAction[1] != 0 -> deliver(1) }
    :: atomic { copyAction[2] != 0 -> deliver(2) }
    :: atomic { newSequence >= seenSequence -> takeReport(newSequence, newResident[0], newResident[1]) }
#ifdef OLD_REPORT_RELEASES
    :: atomic { oldSequence < newSequence -> takeReport(oldSequence, oldResident[0], oldResident[1]) }
#else
    :: atomic { oldSequence < newSequence && oldSequence >= seenSequence -> takeReport(oldSequence, oldResident[0], oldResident[1]) }
#endif
    :: atomic { outstanding[0] -> askAgain(0) }
    :: atomic { outstanding[1] -> askAgain(1) }
    /* An earlier process that was frozen resumes and sends an order that it had decided on. */
    :: atomic { engineKind == 0 && restarts > 0 && fenceTaken && copyAction[0] == 0 ->
        if :: model = 0 :: model = 1 fi;
        copyAction[0] = LOAD; copyModel[0] = model; copyFence[0] = fence - 1 }
    :: restarts < MAX_RESTARTS -> atomic { restart() }
    od
}
