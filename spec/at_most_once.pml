/* At most once: tickets, claims, attempts, tombstones, restarts.
 *
 * Two entry boxes (holders) get the same ticket from a caller that comes twice. The owner's claim
 * decides who may run it. A holder sends up to two attempts; the network may double and delay
 * them; the door may restart, which forgets everything it saw, or not be ready, which refuses.
 *
 * Broken variants, each caught by the checker:
 *   -DNO_TOMBSTONE    a revocation leaves nothing behind
 *   -DNO_REFUSAL_MARK a refused attempt's second copy may start
 *   -DNO_INCARNATION  the door takes attempts meant for its earlier run
 *   -DTRUST_OTHER_RUN a refusal by a later run of the door counts as proof
 *   -DNEW_OWNER       a successor of the owner takes its tickets for new
 */
#define HOLDERS 2
#define TRIES 2

mtype = { open, running, answered, unknown };

mtype claim = open;
bool owner_alive = true;
byte door = 1;
byte runs = 0;
byte copies[4];
byte addressed[4];
bool seen[4];
bool shut[4];
bool refused[4];
bool ran[4];
bool told_not_run[HOLDERS];

inline forget() {
    byte i;
    for (i : 0 .. 3) { seen[i] = false; shut[i] = false }
}

inline deliver(a) {
    copies[a]--;
    if
#ifndef NO_INCARNATION
    /* Another copy may have started in the earlier run: this refusal proves nothing. */
#ifdef TRUST_OTHER_RUN
    :: addressed[a] != door -> refused[a] = true
#else
    :: addressed[a] != door -> skip
#endif
    :: else ->
#else
    :: true ->
#endif
        if
        :: shut[a] -> refused[a] = true
        :: !shut[a] && seen[a] -> skip
        :: !shut[a] && !seen[a] ->
            if
            :: true -> /* not ready */
                refused[a] = true;
#ifndef NO_REFUSAL_MARK
                shut[a] = true
#endif
            :: true ->
                seen[a] = true;
                ran[a] = true;
                runs++;
                assert(runs <= 1);
                assert(!told_not_run[a / TRIES])
            fi
        fi
    fi
}

active proctype Network() {
end:
    do
    :: atomic { copies[0] > 0 -> deliver(0) }
    :: atomic { copies[1] > 0 -> deliver(1) }
    :: atomic { copies[2] > 0 -> deliver(2) }
    :: atomic { copies[3] > 0 -> deliver(3) }
    :: atomic { door < 2 -> door++; forget() }
    :: atomic { owner_alive ->
#ifdef NEW_OWNER
        claim = open
#else
        owner_alive = false
#endif
       }
    od
}

inline settle(state) { if :: owner_alive -> claim = state :: else fi }

proctype Holder(byte me) {
    byte a = me * TRIES;
    byte tries = 0;
    atomic {
        if
        :: owner_alive && claim == open -> claim = running
        :: else -> goto done /* running, answered or unknown is said */
        fi
    }
send:
    atomic {
        addressed[a] = door;
        if :: copies[a] = 1 :: copies[a] = 2 fi;
        tries++
    }
    do
    :: atomic { refused[a] -> break }
    :: atomic { ran[a] -> settle(answered); goto done }
    :: atomic { true -> settle(unknown); goto done } /* given up */
    :: atomic { true -> /* the link was lost: the door is asked on another */
        if
        :: addressed[a] == door && !seen[a] ->
#ifndef NO_TOMBSTONE
            shut[a] = true;
#endif
            break
        :: else -> settle(unknown); goto done
        fi }
    od;
    /* proved not to have run */
    if
    :: tries < TRIES -> a++; goto send
    :: true -> atomic { told_not_run[me] = true; settle(open) }
    fi;
done:
    skip
}

init { atomic { run Holder(0); run Holder(1) } }
