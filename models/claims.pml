/* At-most-once execution over the platform's log (docs/notes/once.md).
 *
 * Daemons claim one key. An append's answer can be lost, with the record appended, not appended, or
 * appended later. A daemon can pause anywhere, past the claim window, and crash and come back as a
 * new incarnation. The log drops old records. Time is counted in windows: a record is "old" once a
 * whole window has passed since it was appended; a daemon that claimed longer ago than that starts
 * nothing.
 *
 * Checked: within one window the key is executed at most once; a call that was told "not run" is
 * never executed.
 *
 * Broken variants, each of which must be found:
 *   BROKEN_GUESS    a lost append answer is taken for "appended, and first"
 *   BROKEN_UNREAD   executes when the append is confirmed, without reading what stands before it
 *   BROKEN_RELEASE  releases the claim in its way, whoever holds it
 *   BROKEN_PAUSE    starts without looking at the time after a pause
 */

#define DAEMONS 3
#define CALLS 1
#define LOG 6

/* One record: the claim of (daemon, call), or its release; horizon = first record that counts. */
typedef Record {
    bool isRelease;
    byte holder;
    byte horizon;
    bool isOld;
};

Record log[LOG];
byte end = 0;
/* Records below this one are older than the window. */
byte old = 0;
/* Per claim (daemon * CALLS + call): a copy that is still on its way; it was told "not run"; it was
 * executed; it was executed within the current window; the window since it was sent has passed. */
bool onItsWay[DAEMONS * CALLS];
byte wayHorizon[DAEMONS * CALLS];
bool toldNotRun[DAEMONS * CALLS];
bool isLate[DAEMONS * CALLS];
bool isSent[DAEMONS * CALLS];
byte runsInWindow = 0;

inline put(claim, release, hor) {
    log[end].isRelease = release;
    log[end].holder = claim;
    log[end].horizon = hor;
    end++
}

/* Is another claim standing in [hor, upto)?  Leaves the first one in `blocker`. */
inline findBlocker(self, hor, upto) {
    blocker = 255;
    i = hor;
    do
    :: i < upto && !log[i].isRelease && log[i].holder != self && blocker == 255 ->
        isReleased = false;
        j = i + 1;
        do
        :: j < upto ->
            if
            :: log[j].isRelease && log[j].holder == log[i].holder -> isReleased = true
            :: else
            fi;
            j++
        :: else -> break
        od;
        if
        :: !isReleased -> blocker = log[i].holder
        :: else
        fi;
        i++
    :: i < upto && !(!log[i].isRelease && log[i].holder != self && blocker == 255) -> i++
    :: else -> break
    od;
    i = 0; j = 0
}

/* The first record of the claim. */
inline findOwn(self) {
    own = 255;
    i = 0;
    do
    :: i < end ->
        if
        :: own == 255 && !log[i].isRelease && log[i].holder == self -> own = i
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline execute(claim) {
    assert(!toldNotRun[claim]);
    runsInWindow++;
    assert(runsInWindow <= 1)
}

/* Never runs from here on. If the claim is in the log it is released; a crash may prevent it. */
inline giveUp(claim) {
    toldNotRun[claim] = true;
    d_step {
        findOwn(claim);
        if
        :: own != 255 && end < LOG -> put(claim, true, 0)
        :: else
        fi;
        own = 0; isReleased = false
    }
}

proctype Daemon(byte id) {
    byte call = 0;
    byte claim;
    byte horizon;
    byte blocker;
    byte own;
    byte i;
    byte j;
    bool isReleased;
    bool isConfirmed;

    do
    :: call < CALLS && end < LOG ->
        claim = id * CALLS + call;
        call++;
        /* The horizon is what this daemon knows to be old: at most what is. */
        if
        :: horizon = old
        :: horizon = 0
        fi;
        isConfirmed = false;
        isSent[claim] = true;
        if
        :: atomic { end < LOG -> put(claim, false, horizon); isConfirmed = true }
        :: atomic { end < LOG -> put(claim, false, horizon) } /* the answer is lost */
        :: atomic { onItsWay[claim] = true; wayHorizon[claim] = horizon } /* it arrives later */
        :: skip /* it never arrives */
        fi;
#ifdef BROKEN_GUESS
        isConfirmed = true;
#endif
        /* Pauses and crashes happen here: the other processes go on. A crashed daemon's next call
         * stands for its next incarnation. */
        if
        :: goto crashed
        :: skip
        fi;
        d_step {
            findOwn(claim);
            blocker = 255;
            if
            :: own != 255 ->
                horizon = log[own].horizon;
                findBlocker(claim, horizon, own)
            :: else
            fi
        }
        if
#ifdef BROKEN_GUESS
        :: isConfirmed && own == 255 -> goto first
#endif
#ifdef BROKEN_UNREAD
        :: isConfirmed -> goto first
#endif
        :: own == 255 ->
            /* Not settled in the call's time. */
            giveUp(claim)
        :: own != 255 && blocker != 255 ->
#ifdef BROKEN_RELEASE
            atomic { end < LOG -> put(blocker, true, 0) };
            goto first;
#endif
            giveUp(claim)
        :: own != 255 && blocker == 255 ->
first:
            if
            :: goto crashed /* or a pause for ever */
            :: giveUp(claim) /* the upstream refused it before it started */
            :: atomic {
                    /* The check and the sending are one step. */
#ifdef BROKEN_PAUSE
                    execute(claim)
#else
                    if
                    :: !isLate[claim] -> execute(claim)
                    :: else -> toldNotRun[claim] = true
                    fi
#endif
               }
            fi
        fi;
crashed:
        skip;
        d_step { own = 0; blocker = 0; isConfirmed = false; horizon = 0; claim = 0 }
    :: else -> break
    od
}

/* Records that were on their way reach the log, at any time. */
proctype Network() {
    byte claim;
    do
    :: atomic {
            end < LOG ->
            claim = 0;
            do
            :: claim < DAEMONS * CALLS - 1 -> claim++
            :: break
            od;
            if
            :: onItsWay[claim] -> onItsWay[claim] = false; put(claim, false, wayHorizon[claim])
            :: else
            fi;
            claim = 0
        }
    :: end == LOG -> break
    od
}

/* A window passes. All records that are there now are old; what was sent before starts nothing. */
proctype Clock() {
    byte claim;
    atomic {
        old = end;
        runsInWindow = 0;
        claim = 0;
        do
        :: claim < DAEMONS * CALLS -> isLate[claim] = isSent[claim]; claim++
        :: else -> break
        od
    }
}

init {
    atomic {
        byte id = 0;
        do
        :: id < DAEMONS -> run Daemon(id); id++
        :: else -> break
        od;
        run Network();
        run Clock()
    }
}
