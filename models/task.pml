/* Attempts of one exclusive task under leases.
 *
 * Two workers, each with an agent and a runtime, two planners and a table with
 * outages and lost replies. Every process may pause between any two steps.
 * There is no absolute time: `left` counts the ticks until a runtime stops its
 * task, `renewal` those since a renewal was sent, and `observed` those for which
 * the observer has seen a lease unchanged, so the state space needs no last
 * tick. A placement under way expects the row that its planner read, so every
 * write of the row ends it.
 *
 * NEXT(from, event, to) is a transition of charts/task.yaml, and
 * tools/test.d/10-charts compares them. `replace` concerns replicas only.
 *
 * chart: task
 * not modelled: replace
 *
 * size: 2 workers, 2 planners, 3 attempts, a lease of 1 tick
 *
 * Broken variants, each of which must violate an assertion:
 * variants: NO_EPOCH_CHECK NO_RUNTIME_DEADLINE NO_LEASE_PERIOD
 * variants: DEADLINE_FROM_REPLY EXTEND_ON_UNKNOWN BLIND_RETRY NO_ATTEMPT_CHECK
 * variants: LOSE_WITHOUT_FENCE REGISTER_WHILE_RUNNING
 */

#define LEASE 1
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

mtype = { blocked, pending, starting, running, checkpointing, stopped, resumed,
          failed, parked, finished, cancelled };
mtype = { success, failure, checkpoint_written };

/* The task's row. */
mtype state = blocked;
byte attempt = 0;
byte owner = 0;            /* worker 1 or 2; 0 is none */
bool lost = false;         /* assigned under an older epoch of its worker */
bool has_output = false;

/* The workers' rows. Index 0 is unused in all arrays by worker. */
bool fenced[3];            /* the row's epoch is higher than the agent's */

bool store_up = true;

/* The runtimes. */
byte left[3];              /* ticks until the stop deadline */
byte runs[3];              /* attempt that runs; 0 is none */

/* The agents. */
byte start[3];             /* attempt that was read and is not started yet */
byte renewal[3];           /* 0: none under way; otherwise 1 + ticks since */
bool renewed[3];           /* the renewal under way has taken effect */
byte report[3];            /* attempt whose end is not known to be reported */
mtype kind[3];             /* how it ended */

/* The planners. */
byte target[2];            /* worker to place on; 0 is no placement under way */
byte watched = 0;          /* worker whose lease is observed */
byte observed = 0;         /* ticks for which it was unchanged */

#ifdef BLIND_RETRY
#define NEXT(from, event, to) assert(state == from); state = to
#else
#define NEXT(from, event, to) \
  assert(state == from); state = to; \
  target[0] = 0; target[1] = 0
#endif

#define ONE_EXECUTION assert(runs[1] == 0 || runs[2] == 0)

inline EndAttempt(w) {
  runs[w] = 0
}

inline Tick(w) {
  if
  :: left[w] > 0 -> left[w]--
  :: else
  fi;
#ifndef NO_RUNTIME_DEADLINE
  if
  :: left[w] == 0 && runs[w] != 0 ->
     report[w] = runs[w]; kind[w] = failure; EndAttempt(w)
  :: else
  fi;
#endif
  if
  :: renewal[w] != 0 && renewal[w] <= LEASE -> renewal[w]++
  :: else
  fi
}

active proctype Time() {
  do
  :: atomic {
       Tick(1); Tick(2);
       if
       :: watched != 0 && observed < LEASE -> observed++
       :: else
       fi
     }
  /* An outage starts the observation of a lease anew. */
  :: atomic { store_up -> store_up = false; watched = 0; observed = 0 }
  :: atomic { !store_up -> store_up = true }
  od
}

/* The agent's epoch is the row's, and so is the assignment's. */
#if defined(NO_EPOCH_CHECK)
#define HOLDS(w) (store_up && owner == w)
#elif defined(LOSE_WITHOUT_FENCE)
/* Nothing in the rows shows the planner's decision. */
#define HOLDS(w) (store_up && !fenced[w] && owner == w)
#else
#define HOLDS(w) (store_up && !fenced[w] && !lost && owner == w)
#endif

#ifdef NO_ATTEMPT_CHECK
#define REPORT_IS_CURRENT(w) true
#else
#define REPORT_IS_CURRENT(w) (report[w] == attempt)
#endif

inline CommitReport(w) {
  if
  :: kind[w] == success ->
     if
     :: state == starting -> NEXT(starting, finish, finished)
     :: state == resumed -> NEXT(resumed, finish, finished)
     :: state == running -> NEXT(running, finish, finished)
     :: state == checkpointing -> NEXT(checkpointing, finish, finished)
     :: else
     fi;
     if
     :: state == finished ->
        assert(!has_output); has_output = true;
        assert(runs[1] == 0 && runs[2] == 0)
     :: else
     fi
  :: kind[w] == failure ->
     if
     :: state == starting -> NEXT(starting, fail, failed)
     :: state == resumed -> NEXT(resumed, fail, failed)
     :: state == running -> NEXT(running, fail, failed)
     :: state == checkpointing -> NEXT(checkpointing, fail, failed)
     /* The last failure that is allowed. */
     :: state == starting -> NEXT(starting, park, parked)
     :: state == resumed -> NEXT(resumed, park, parked)
     :: state == running -> NEXT(running, park, parked)
     :: state == checkpointing -> NEXT(checkpointing, park, parked)
     :: else
     fi
  :: else ->
     if
     :: state == checkpointing -> NEXT(checkpointing, checkpoint, stopped)
     :: else
     fi
  fi;
  owner = 0
}

proctype Agent(byte w) {
  do
  /* Renew the lease: send, take effect, reply. */
  :: atomic { renewal[w] == 0 && start[w] == 0 -> renewal[w] = 1 }
#ifdef NO_EPOCH_CHECK
  :: atomic { renewal[w] != 0 && !renewed[w] && store_up ->
#else
  :: atomic { renewal[w] != 0 && !renewed[w] && store_up && !fenced[w] ->
#endif
       renewed[w] = true;
       if
       :: watched == w -> watched = 0; observed = 0
       :: else
       fi }
#ifdef EXTEND_ON_UNKNOWN
  :: atomic { renewal[w] != 0 ->
#else
  :: atomic { renewal[w] != 0 && renewed[w] ->
#endif
       /* The deadline counts from before the renewal was sent. */
#ifdef DEADLINE_FROM_REPLY
       left[w] = LEASE;
#else
       if
       :: left[w] + renewal[w] < LEASE + 1 -> left[w] = LEASE + 1 - renewal[w]
       :: else
       fi;
#endif
       renewal[w] = 0; renewed[w] = false }
  /* The reply is lost: the deadline stays. */
  :: atomic { renewal[w] != 0 -> renewal[w] = 0; renewed[w] = false }

  /* Register under a new epoch, after a fence or a restart of the VM. What ran
   * under the older one is stopped first. */
  :: atomic { store_up ->
#ifndef REGISTER_WHILE_RUNNING
       EndAttempt(w);
#endif
       fenced[w] = false; start[w] = 0; report[w] = 0; kind[w] = 0; renewal[w] = 0;
       renewed[w] = false;
       if
       :: owner == w -> lost = true
       :: else
       fi;
       if
       :: watched == w -> watched = 0; observed = 0
       :: else
       fi }

  /* Read an assignment, then start it. */
  :: atomic { HOLDS(w) && start[w] == 0 && runs[w] == 0 && renewal[w] == 0 &&
              report[w] != attempt && (state == starting || state == resumed) ->
       start[w] = attempt }
#ifdef NO_RUNTIME_DEADLINE
  :: atomic { start[w] != 0 ->
#else
  :: atomic { start[w] != 0 && left[w] > 0 ->
#endif
       runs[w] = start[w]; start[w] = 0; ONE_EXECUTION }
  :: atomic { start[w] != 0 && left[w] == 0 -> start[w] = 0 }

  /* The attempt ends by itself. */
  :: atomic { runs[w] != 0 ->
       report[w] = runs[w]; EndAttempt(w);
       if
       :: kind[w] = success
       :: kind[w] = failure
       fi }

  /* Evicted, parked or cancelled: stop, started or not. */
  :: atomic { HOLDS(w) && start[w] == 0 && report[w] != attempt &&
              (state == checkpointing || state == cancelled) &&
              (runs[w] == 0 || runs[w] == attempt) ->
       report[w] = attempt; EndAttempt(w); kind[w] = checkpoint_written }

  /* Report the end; the reply may be lost, and then the report is repeated. */
  :: atomic { report[w] != 0 && HOLDS(w) && REPORT_IS_CURRENT(w) ->
       CommitReport(w);
       if
       :: report[w] = 0; kind[w] = 0
       :: true
       fi }
  /* The row is read again and does not name the attempt any more. */
  :: atomic { report[w] != 0 && store_up && (report[w] != attempt || owner != w) ->
       report[w] = 0; kind[w] = 0 }

  /* The running report is soft state; here it is a step of its own. */
  :: atomic { HOLDS(w) && runs[w] == attempt && state == starting ->
       NEXT(starting, start, running) }
  :: atomic { HOLDS(w) && runs[w] == attempt && state == resumed ->
       NEXT(resumed, start, running) }
  od
}

proctype Planner(bit me) {
  do
  :: atomic { store_up && state == blocked -> NEXT(blocked, unblock, pending) }

  /* Place a task that was read as waiting. */
  :: atomic { store_up && target[me] == 0 && attempt < ATTEMPTS &&
              (state == pending || state == stopped || state == failed) ->
       if
       :: target[me] = 1
       :: target[me] = 2
       fi }
#ifdef BLIND_RETRY
  :: atomic { target[me] != 0 && store_up && !fenced[target[me]] &&
              attempt < ATTEMPTS && state != finished ->
       state = starting; owner = target[me];
#else
  :: atomic { target[me] != 0 && store_up && !fenced[target[me]] ->
       owner = target[me];
       if
       :: state == pending -> NEXT(pending, place, starting)
       :: state == stopped -> NEXT(stopped, place, resumed)
       :: state == failed -> NEXT(failed, place, starting)
       fi;
#endif
       attempt++; lost = false;
       /* With the reply lost the same transaction would be sent again. */
       if
       :: target[me] = 0
       :: true
       fi }
  /* No effect, or given up. */
  :: atomic { target[me] != 0 -> target[me] = 0 }

  /* Observe the lease of the task's worker. */
  :: atomic { me == 0 && store_up && owner != 0 && !lost && watched == 0 &&
              !fenced[owner] ->
       watched = owner; observed = 0 }
  /* Fence after a whole period. */
#ifdef NO_LEASE_PERIOD
  :: atomic { me == 0 && watched != 0 && store_up ->
#else
  :: atomic { me == 0 && watched != 0 && store_up && observed >= LEASE ->
#endif
#ifndef LOSE_WITHOUT_FENCE
       fenced[watched] = true;
#endif
       if
       :: owner == watched -> lost = true
       :: else
       fi;
       watched = 0; observed = 0 }
  /* The epoch of the assignment is older than the worker's. */
  :: atomic { store_up && owner != 0 && lost ->
       if
       :: state == starting -> NEXT(starting, lose, pending)
       :: state == running -> NEXT(running, lose, pending)
       :: state == checkpointing -> NEXT(checkpointing, lose, pending)
       :: state == resumed -> NEXT(resumed, lose, stopped)
       :: else
       fi;
       owner = 0; lost = false }

  :: atomic { me == 0 && store_up && state == running ->
       NEXT(running, evict, checkpointing) }
  :: atomic { me == 0 && store_up && state == starting ->
       NEXT(starting, evict, checkpointing) }
  :: atomic { me == 0 && store_up && state == resumed ->
       NEXT(resumed, evict, checkpointing) }
  od
}

/* Steps of operators. A waiting task is parked and retried. */
active proctype Operator() {
  do
  :: atomic { store_up ->
       if
       :: state == blocked -> NEXT(blocked, park, parked)
       :: state == pending -> NEXT(pending, park, parked)
       :: state == stopped -> NEXT(stopped, park, parked)
       :: state == failed -> NEXT(failed, park, parked)
       :: state == parked -> NEXT(parked, retry, pending)
       :: state == blocked -> NEXT(blocked, cancel, cancelled)
       :: state == pending -> NEXT(pending, cancel, cancelled)
       :: state == starting -> NEXT(starting, cancel, cancelled)
       :: state == running -> NEXT(running, cancel, cancelled)
       :: state == checkpointing -> NEXT(checkpointing, cancel, cancelled)
       :: state == stopped -> NEXT(stopped, cancel, cancelled)
       :: state == resumed -> NEXT(resumed, cancel, cancelled)
       :: state == failed -> NEXT(failed, cancel, cancelled)
       :: state == parked -> NEXT(parked, cancel, cancelled)
       fi }
  od
}

init {
  atomic {
    left[1] = LEASE; left[2] = LEASE;
    run Agent(1); run Agent(2); run Planner(0); run Planner(1)
  }
}
