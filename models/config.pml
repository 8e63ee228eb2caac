/* Versions of the configuration: two operators, a store with outages and lost
 * replies, and three nodes that take versions from the store and from peers and
 * that may be replaced.
 *
 * The store may be down at any access, for as long as it takes.
 *
 * Each operator submits one change, based on a version that it read. The
 * transaction may take effect at any time after it was sent, also twice. A
 * message between nodes carries the version of its sender and may be late. A
 * node that replaces another one is ready when it has read the store, or has
 * the highest version that all ready peers told.
 *
 * NEXT(from, event, to) is a transition of charts/config.yaml, and
 * tools/test.d/10-charts compares them.
 *
 * chart: config
 * not modelled:
 *
 * size: 2 operators with 1 change each, 3 nodes, 2 replacements
 *
 * Broken variants, each of which must violate an assertion:
 * variants: NO_HIGHER_CHECK NO_BASE_CHECK NO_CATCH_UP BLIND_RETRY
 * variants: REFUSED_ON_LOST_REPLY HEAR_ONE_PEER
 */

#define NODES 3
#define REPLACEMENTS 2
#define NONE 9

mtype = { submitted, checked, open, accepted, in_force, rejected, refused,
          conflicted };

/* The table: the head, and by version who made it. */
byte head = 0;
byte history[5] = NONE;

/* The changes, by operator. */
mtype state[2] = submitted;
byte base[2];
bool in_flight[2];          /* a transaction of the change may take effect */
byte effects[2];            /* times that the change took effect */

byte version[NODES];
bool is_ready[NODES] = true;
byte heard[NODES];          /* highest version that a peer told since the start */
byte told[NODES];           /* peers that told one, a bit each */
byte least[NODES];          /* what was in force when the node was replaced */
byte message[NODES];        /* version of a delta under way to the node, or NONE */
byte sender[NODES];
byte replacements = 0;
byte in_force_version = 0;  /* highest that all ready nodes have had */

#define NEXT(from, event, to) assert(state[me] == from); state[me] = to

/* The transaction expects the head that its change is based on. */
inline TakeEffect(o) {
  if
#ifdef NO_BASE_CHECK
  :: head < 4 ->
#else
  :: head == base[o] ->
#endif
     head++;
     history[head] = o;
     effects[o]++;
     assert(effects[o] == 1)
  :: else
  fi
}

proctype Operator(bit me) {
  do
  :: atomic { state[me] == submitted ->
       if
       :: base[me] = head; NEXT(submitted, check_passed, checked)
       :: NEXT(submitted, check_failed, rejected)
       fi }

  :: atomic { state[me] == checked ->
       NEXT(checked, store_unavailable, refused);
       assert(effects[me] == 0 && !in_flight[me]) }
  :: atomic { state[me] == checked ->
       if
       /* The reply arrives. */
       :: head == base[me] ->
          TakeEffect(me);
          NEXT(checked, committed, accepted)
       :: head != base[me] ->
#ifdef NO_BASE_CHECK
          TakeEffect(me);
          NEXT(checked, committed, accepted);
          assert(history[base[me] + 1] == me)
#else
          NEXT(checked, conflict, conflicted);
          assert(effects[me] == 0)
#endif
       /* The reply is lost: it took effect, or it may do so later. */
       :: in_flight[me] = true;
#ifdef REFUSED_ON_LOST_REPLY
          NEXT(checked, store_unavailable, refused)
#else
          NEXT(checked, reply_lost, open)
#endif
       fi }

  /* The transaction arrives, however late, and may arrive again. */
  :: atomic { in_flight[me] ->
       assert(state[me] != refused);
       assert(state[me] != conflicted || head != base[me]);
       TakeEffect(me);
       if
       :: in_flight[me] = false
       :: true
       fi }

  /* Settle: the history row of the version that the change would have. While
   * the head is the base, the transaction is sent again. */
  :: atomic { state[me] == open ->
       if
       :: head <= base[me] -> in_flight[me] = true
       :: head > base[me] && history[base[me] + 1] == me ->
          NEXT(open, committed, accepted)
       :: head > base[me] && history[base[me] + 1] != me ->
          NEXT(open, conflict, conflicted);
          assert(effects[me] == 0)
       fi }
#ifdef BLIND_RETRY
  /* The change is made again on the newest version. */
  :: atomic { state[me] == open && head < 4 ->
       base[me] = head; in_flight[me] = true }
#endif

  :: atomic { state[me] == accepted && in_force_version > base[me] ->
       assert(history[base[me] + 1] == me);
       NEXT(accepted, distributed, in_force) }
  od
}

inline SetInForce() {
  i = 0; lowest = NONE;
  do
  :: i < NODES ->
     if
     :: is_ready[i] && version[i] < lowest -> lowest = version[i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  if
  :: lowest != NONE && lowest > in_force_version -> in_force_version = lowest
  :: else
  fi;
  i = 0; lowest = 0
}

#define HAS_HEARD(p) (!is_ready[p] || (told[me] & (1 << (p))))

inline BecomeReady(has_joined) {
  if
#if defined(NO_CATCH_UP)
  :: !is_ready[me] ->
#elif defined(HEAR_ONE_PEER)
  :: !is_ready[me] && (has_joined || told[me]) && version[me] >= heard[me] ->
#else
  :: !is_ready[me] &&
     (has_joined || (told[me] && HAS_HEARD((me + 1) % NODES) &&
                     HAS_HEARD((me + 2) % NODES))) &&
     version[me] >= heard[me] ->
#endif
     is_ready[me] = true; told[me] = 0; heard[me] = 0;
     /* A node that replaces another one does not fall back behind it. */
     assert(version[me] >= least[me]);
     least[me] = 0
  :: else
  fi
}

inline Take(v) {
  if
#ifdef NO_HIGHER_CHECK
  :: v != NONE ->
#else
  :: v != NONE && v > version[me] ->
#endif
     /* No node goes back to an older version. */
     assert(v >= version[me]);
     version[me] = v
  :: else
  fi
}

proctype Node(byte me) {
  byte i = 0;
  byte lowest = 0;
  byte peer = 0;
  do
  /* From the store. */
  :: atomic { version[me] < head || !is_ready[me] ->
       Take(head);
       BecomeReady(true);
       /* What is on its way was sent to a node that was joining. */
       sender[me] = 0;
       SetInForce() }

  /* A delta leaves a peer that is ready and has more, and arrives later. It tells the peer's
   * version, too. */
  :: atomic { message[me] == NONE ->
       if
       :: peer = (me + 1) % NODES
       :: peer = (me + 2) % NODES
       fi;
       if
       :: is_ready[peer] && !is_ready[me] ->
          message[me] = version[peer]; sender[me] = peer
       :: is_ready[peer] && is_ready[me] && version[peer] > version[me] ->
          message[me] = version[peer]
       :: else
       fi;
       peer = 0 }
  :: atomic { message[me] != NONE ->
       if
       :: !is_ready[me] ->
          told[me] = told[me] | (1 << sender[me]);
          if
          :: message[me] > heard[me] -> heard[me] = message[me]
          :: else
          fi
       :: else
       fi;
       Take(message[me]);
       message[me] = NONE; sender[me] = 0;
       BecomeReady(false); SetInForce() }

  /* Replaced by a node without any state. One ready node remains. */
  :: atomic { replacements < REPLACEMENTS && is_ready[me] &&
              (is_ready[(me + 1) % NODES] || is_ready[(me + 2) % NODES]) ->
       replacements++;
       version[me] = 0; is_ready[me] = false; told[me] = 0;
       heard[me] = 0; message[me] = NONE; sender[me] = 0; least[me] = in_force_version;
#ifdef NO_CATCH_UP
       BecomeReady(false);
#endif
       SetInForce() }
  od
}

init {
  atomic {
    message[0] = NONE; message[1] = NONE; message[2] = NONE;
    run Operator(0); run Operator(1);
    run Node(0); run Node(1); run Node(2)
  }
}
