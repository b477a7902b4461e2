/* Fenced orders: an engine that checks nothing never gets an order older than one it had.
 *
 * The head of the configuration rises in the key-value service, which may be out of reach. Two
 * entry boxes hear of revisions late, and may be replaced. A door takes whatever is newer, and may
 * restart, which forgets. It orders only once a confirmation, read from the service itself after
 * the door started, has been reached.
 *
 * Broken variants, each caught by the checker:
 *   -DNO_CONFIRMATION    a restarted door orders at once
 *   -DOLD_CONFIRMATION   a confirmation for an earlier run of the door counts
 *   -DREVERT             a process takes what it hears, newer or not
 */
#define LAST 3

byte head = 0;
byte entry[2];
byte door = 0;
bool confirmed = false;
byte ordered = 0;
/* Confirmations on their way from the two entry boxes: revision + 1, or 0 for none. */
byte on_its_way[2];

inline hear(mine, theirs) {
#ifdef REVERT
    mine = theirs
#else
    mine = (theirs > mine -> theirs : mine)
#endif
}

inline confirm(from) {
    carried = on_its_way[from] - 1;
    on_its_way[from] = 0;
    hear(door, carried);
    confirmed = (confirmed || door >= carried)
}

active proctype Everything() {
    byte carried;
end:
    do
    :: atomic { head < LAST -> head++ }
    :: atomic { true -> hear(entry[0], head) }
    :: atomic { true -> hear(entry[1], entry[0]) }
    :: atomic { true -> hear(entry[0], entry[1]) }
    :: atomic { entry[1] > 0 -> entry[1] = 0 } /* replaced by an empty box */
    :: atomic { true -> hear(door, entry[0]) }
    :: atomic { true -> hear(door, entry[1]) }
    /* An entry box reads the head for a door that says it is not confirmed. */
    :: atomic { !confirmed && on_its_way[0] == 0 -> on_its_way[0] = head + 1 }
    :: atomic { !confirmed && on_its_way[1] == 0 -> on_its_way[1] = head + 1 }
    :: atomic { on_its_way[0] > 0 -> confirm(0) }
    :: atomic { on_its_way[1] > 0 -> confirm(1) }
    :: atomic { door > 0 || confirmed -> /* the door restarts; what was on its link to it is gone */
        door = 0;
        confirmed = false;
#ifndef OLD_CONFIRMATION
        on_its_way[0] = 0;
        on_its_way[1] = 0
#endif
       }
#ifdef NO_CONFIRMATION
    :: atomic { door > 0 ->
#else
    :: atomic { confirmed ->
#endif
        assert(door >= ordered);
        ordered = door }
    od
}
