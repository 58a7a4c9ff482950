/* The fold of the configuration stream.
 *
 * Publishers append changes, each based on a version; a change is accepted iff its base is the
 * current version at its offset. An append's answer can be lost, with the record appended, not
 * appended, or appended later, and a publisher may append the same change twice. The log forgets
 * its oldest records at any time. Daemons read on their own, restart with nothing, and append
 * snapshots of the version that they have judged; a snapshot names the position up to which its
 * author had read, and may reach the log much later. Daemons meet only in the log, so one process
 * that restarts at any time stands for all: its snapshots are those of its former runs.
 *
 * Checked: a daemon that judges has the version and the change that a reader of the whole history
 * has; what a publisher is told of its change is true.
 *
 * Broken variants, each of which must be found:
 *   BROKEN_POSITION  a snapshot's version is taken for the current one at the snapshot's own offset
 *   BROKEN_START     a daemon that starts after forgotten records judges from version 0
 *   BROKEN_TELL      a publisher whose answer was lost says that its change was not accepted
 */

#define PUBLISHERS 2
#define LOG 5

mtype = { CHANGE, SNAPSHOT };

typedef Record {
    mtype kind;
    byte change;   /* the publisher's number + 1 */
    byte version;  /* of a change: its base; of a snapshot: the version itself */
    byte position; /* of a snapshot */
}

Record log[LOG];
byte end = 0;
byte first = 0;

/* What a reader of the whole history has judged: before each offset, and of each change. */
byte trueVersion[LOG + 1];
byte trueChange[LOG + 1];
bool isAccepted[PUBLISHERS + 1];

inline put(k, c, v, p) {
    log[end].kind = k;
    log[end].change = c;
    log[end].version = v;
    log[end].position = p;
    if
    :: k == CHANGE && v == trueVersion[end] ->
        trueVersion[end + 1] = v + 1;
        trueChange[end + 1] = c;
        isAccepted[c] = true
    :: else ->
        trueVersion[end + 1] = trueVersion[end];
        trueChange[end + 1] = trueChange[end]
    fi;
    end++
}

/* Judges the changes in [from, to). */
inline judge(from, to) {
    i = from;
    do
    :: i < to ->
        if
        :: log[i].kind == CHANGE && log[i].version == version ->
            version++;
            change = log[i].change
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

proctype Publisher(byte id) {
    byte base;
    bool isLost = false;

    /* Based on a version that was current at some time. */
    atomic {
        if
        :: base = trueVersion[end]
        :: base = 0
        fi
    }
    if
    :: atomic { end < LOG -> put(CHANGE, id, base, 0) }
    :: atomic { end < LOG -> put(CHANGE, id, base, 0); isLost = true }
    :: isLost = true
    fi;
    if
    :: isLost ->
#ifdef BROKEN_TELL
        assert(!isAccepted[id]);
#endif
        /* Looks for its change in the stream; if it is not there, appends it again, or says that it
         * does not know. */
        if
        :: atomic { end < LOG -> put(CHANGE, id, base, 0) }
        :: skip
        fi
    :: else
    fi
}

proctype Daemon() {
    byte next;
    byte start;
    byte version;
    byte change;
    byte held = 0;
    bool isJudging;
    byte i = 0;

restart:
    atomic {
        next = first;
        start = first;
        version = 0;
        change = 0;
        held = 0;
#ifdef BROKEN_START
        isJudging = true;
#else
        isJudging = (first == 0);
#endif
    }
    do
    :: atomic {
            /* The log forgot records that were not read. */
            next < first -> next = first; start = first; version = 0; change = 0; isJudging = false
        }
    :: atomic {
            next >= first && next < end ->
            if
            :: log[next].kind == CHANGE && isJudging -> judge(next, next + 1)
            :: log[next].kind == SNAPSHOT && !isJudging && log[next].position >= start ->
                isJudging = true;
                version = log[next].version;
                change = log[next].change;
#ifndef BROKEN_POSITION
                judge(log[next].position, next)
#endif
            :: else
            fi;
            next++;
            if
            :: isJudging ->
                assert(version == trueVersion[next] && change == trueChange[next]);
                assert(version >= held);
                held = version
            :: else
            fi
        }
    :: atomic {
            /* A snapshot of what was judged; the log may have grown since. */
            isJudging && version > 0 && end < LOG -> put(SNAPSHOT, change, version, next)
        }
    :: goto restart
    :: end == LOG && next == end -> break
    od
}

proctype Retention() {
    do
    :: first < end -> first++
    :: break
    od
}

init {
    atomic {
        run Publisher(1);
        run Publisher(2);
        run Daemon();
        run Retention()
    }
}
