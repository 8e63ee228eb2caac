/* Attempts of two requests between an entry and an agent.
 *
 * Request 0 is not idempotent, request 1 is. Attempt 0 of each travels on
 * connection 0, attempt 1 on connection 1. A frame stays under way for good and
 * may arrive at any time and any number of times, so frames are late, repeated,
 * lost and crossed, also between the connections. Connections break; the agent
 * restarts once and forgets what it knew. The deadline passes at any time; the
 * agent remembers attempts until a margin after it, which is longer than the
 * skew of the clocks, so that the entry has given up by then.
 *
 * NEXT(from, event, to) is a transition of charts/request.yaml, and
 * tools/test.d/10-charts compares them.
 *
 * chart: request
 * not modelled:
 *
 * size: 2 requests, 2 attempts each, 2 connections, 1 restart of the agent
 *
 * Broken variants, each of which must violate an assertion:
 * variants: NO_TOMBSTONE NO_INCARNATION_CHECK RETRY_AFTER_UNKNOWN
 * variants: NOT_RUN_AFTER_WRITE NO_REQUEST_ID NO_ATTEMPT_ID FORGET_EARLY
 */

/* Attempts 0 and 1 belong to request 0, the others to request 1. */
#define FIRST(r) ((r) * 2)
#define LIMIT(r) (2 + (r))
#define N 5
#define REQUEST(i) ((i) >= 2)
#define CONNECTION(i) ((i) % 2)

mtype = { ready, certain, uncertain, open, answered, not_run, unknown };
mtype = { idle, buffered, written, over };     /* an attempt at the entry */
mtype = { unseen, queued, started, buried };   /* an attempt at the agent */
mtype = { none, current, old };                /* a frame to the agent */
mtype = { nothing, refused, response };        /* a frame to the entry */

mtype state[2] = ready;     /* the requests at the entry */
byte sent[2];               /* attempts that were sent */
byte outstanding[2];
mtype entry[N] = idle;
mtype agent[N] = unseen;
mtype submit[N] = none;     /* the submit frame, by the agent's incarnation */
mtype cancel[N] = none;
mtype reply[N] = nothing;

bool ran[2];                /* the upstream ran the request */
bool restarted = false;
byte clock = 0;             /* 1: past the deadlines; 2: and past the margin */

#define NEXT(from, event, to) assert(state[r] == from); state[r] = to

#define ENDED(r) \
  (state[r] == answered || state[r] == not_run || state[r] == unknown)

/* Nothing is sent or awaited any longer. */
inline End() {
  entry[FIRST(r)] = over;
  entry[FIRST(r) + 1] = over;
  outstanding[r] = 0;
  if
  :: r == 1 -> entry[4] = over
  :: else
  fi
}

inline Refuse() {
  entry[i] = over;
  outstanding[r]--;
  if
  :: outstanding[r] == 0 && state[r] == certain -> NEXT(certain, refuse, ready)
  :: outstanding[r] == 0 && state[r] == uncertain -> NEXT(uncertain, refuse, open)
  :: else
  fi
}

inline Break() {
  entry[i] = over;
  outstanding[r]--;
  if
  :: outstanding[r] == 0 && state[r] == certain -> NEXT(certain, break, open)
  :: outstanding[r] == 0 && state[r] == uncertain -> NEXT(uncertain, break, open)
  :: outstanding[r] != 0 && state[r] == certain -> NEXT(certain, spoil, uncertain)
  :: outstanding[r] != 0 && state[r] == uncertain ->
     NEXT(uncertain, spoil, uncertain)
  fi
}

/* The attempt i that a reply to attempt `from` is taken for, and its request. */
inline Match(from) {
  i = from;
#ifdef NO_REQUEST_ID
  if
  :: entry[CONNECTION(from)] == written -> i = CONNECTION(from)
  :: entry[2 + CONNECTION(from)] == written -> i = 2 + CONNECTION(from)
  :: else
  fi;
#endif
  r = REQUEST(i);
#ifdef NO_ATTEMPT_ID
  if
  :: entry[FIRST(r) + 1] == written -> i = FIRST(r) + 1
  :: else
  fi;
#endif
}

proctype Entry(byte me) {
  byte r;
  byte i;
  do
  /* Send an attempt: first it waits in the connection's buffer. */
  :: d_step { sent[me] < LIMIT(me) && !ENDED(me) &&
#ifdef RETRY_AFTER_UNKNOWN
              (me == 1 || state[me] == ready || state[me] == open) ->
#else
              (me == 1 || state[me] == ready) ->
#endif
       r = me;
       if
       :: state[r] == ready -> NEXT(ready, send, certain)
       :: state[r] == certain -> NEXT(certain, send, certain)
       :: state[r] == uncertain -> NEXT(uncertain, send, uncertain)
       :: state[r] == open -> NEXT(open, send, uncertain)
       fi;
       entry[FIRST(r) + sent[r]] = buffered;
       sent[r]++; outstanding[r]++;
       r = 0 }

  /* The caller leaves or the deadline passes. */
  :: d_step { !ENDED(me) ->
       r = me;
       if
       :: state[r] == ready -> NEXT(ready, give_up, not_run); assert(!ran[r])
       :: state[r] == certain -> NEXT(certain, give_up, unknown)
       :: state[r] == uncertain -> NEXT(uncertain, give_up, unknown)
       :: state[r] == open -> NEXT(open, give_up, unknown)
       fi;
       End();
       r = 0 }
  od
}

/* What happens to attempt n. */
proctype Attempt(byte n) {
  byte r;
  byte i;
  do
  /* At the entry: the attempt is written, or cancelled. A cancel frame that
   * comes after the start or a refusal has no effect and is not modelled. */
  :: d_step { entry[n] == buffered ->
       entry[n] = written;
       submit[n] = current }
  :: d_step { entry[n] == written && cancel[n] == none && submit[n] == current &&
              (agent[n] == unseen || agent[n] == queued) ->
       cancel[n] = current }

  /* A frame reaches the agent. */
#ifdef NO_INCARNATION_CHECK
  :: atomic { submit[n] != none && agent[n] == unseen ->
#else
  :: atomic { submit[n] == current && agent[n] == unseen ->
#endif
       if
       :: clock == 0 -> agent[n] = queued
       /* Past the deadline, or no room. */
       :: agent[n] = buried; reply[n] = refused; cancel[n] = none
       fi }
  :: d_step { cancel[n] == current && (agent[n] == unseen || agent[n] == queued) ->
       reply[n] = refused; cancel[n] = none;
#ifdef NO_TOMBSTONE
       agent[n] = unseen
#else
       agent[n] = buried
#endif
       }

  /* At the agent: the upstream runs the request and answers, or it is too late. */
  :: d_step { agent[n] == queued ->
       agent[n] = started;
       r = REQUEST(n);
       /* What was said not to have run must not run, however late, and a
        * request that is not idempotent runs once at most. */
       assert(state[r] != not_run);
       assert(r == 1 || !ran[r]);
       ran[r] = true;
       reply[n] = response; cancel[n] = none;
       r = 0 }
  :: d_step { agent[n] == queued ->
       agent[n] = buried; reply[n] = refused; cancel[n] = none }
#ifdef FORGET_EARLY
  :: d_step { (agent[n] == buried || agent[n] == started) -> agent[n] = unseen }
#else
  :: d_step { clock == 2 && (agent[n] == buried || agent[n] == started) ->
       agent[n] = unseen }
#endif

  /* A reply reaches the entry; it changes nothing unless its attempt is
   * outstanding. */
#if defined(NO_REQUEST_ID) || defined(NO_ATTEMPT_ID)
  :: d_step { reply[n] != nothing ->
#else
  :: d_step { reply[n] != nothing && entry[n] == written && !ENDED(REQUEST(n)) ->
#endif
       Match(n);
       if
       :: entry[i] == written && !ENDED(r) && reply[n] == refused ->
          Refuse()
       :: entry[i] == written && !ENDED(r) && reply[n] == response ->
          assert(r == REQUEST(n));
          if
          :: state[r] == certain -> NEXT(certain, answer, answered)
          :: state[r] == uncertain -> NEXT(uncertain, answer, answered)
          fi;
          End()
       :: else
       fi;
       r = 0; i = 0 }
  od
}

proctype Faults() {
  byte r;
  byte i;
  byte c = 0;
  do
  /* A connection breaks. What was not written has certainly not run. */
  :: atomic {
       if
       :: c = 0
       :: c = 1
       fi;
       d_step {
         i = 0;
         do
         :: i < N ->
            r = REQUEST(i);
            if
            :: CONNECTION(i) == c && !ENDED(r) && entry[i] == buffered -> Refuse()
            :: CONNECTION(i) == c && !ENDED(r) && entry[i] == written ->
#ifdef NOT_RUN_AFTER_WRITE
               Refuse()
#else
               Break()
#endif
            :: else
            fi;
            i++
         :: else -> break
         od;
         i = 0; r = 0; c = 0
       } }
  /* The agent restarts under a new incarnation. */
  :: d_step { !restarted ->
       restarted = true;
       i = 0;
       do
       :: i < N ->
          agent[i] = unseen;
          /* Frames for the older incarnation are dropped. */
#ifdef NO_INCARNATION_CHECK
          if
          :: submit[i] == current -> submit[i] = old
          :: else
          fi;
#else
          submit[i] = none;
#endif
          cancel[i] = none;
          i++
       :: else -> break
       od;
       i = 0 }
  :: d_step { clock == 0 -> clock = 1 }
  :: d_step { clock == 1 && ENDED(0) && ENDED(1) -> clock = 2 }
  od
}

init {
  atomic {
    run Entry(0); run Entry(1);
    run Attempt(0); run Attempt(1); run Attempt(2); run Attempt(3); run Attempt(4);
    run Faults()
  }
}
