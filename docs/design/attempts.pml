/* Model of how failed runs of a task are counted over takeovers: runs one after the
   other at two workers, any of which may fail; planners, each of which reads what
   the last commit of one before it stored.  Ends are told in any order, again and
   again until they are acknowledged, and a worker may be out of reach until its
   lease is over: its ends then need not count.  When a run starts every failure
   that needs to count has been counted, and none twice.
   spin -a attempts.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E
   Seen: 1,426,048 states, no error; with any one of its guards as 0 an error. */
#define RUNS 4
/* Guards, all needed.  A run that was counted is not counted again: */
#ifndef TOLD_APART
#define TOLD_APART 1
#endif
/* a run starts once each worker was heard, or its lease is over: */
#ifndef HEARD
#define HEARD 1
#endif
/* the count and the runs in it are stored together: */
#ifndef ONE_COMMIT
#define ONE_COMMIT 1
#endif
/* an end is acknowledged once it is stored: */
#ifndef ACK_STORED
#define ACK_STORED 1
#endif
/* runs are closed only up to the one that starts: */
#ifndef CLOSE_LOWER
#define CLOSE_LOWER 1
#endif

#define NONE 0
#define RUNNING 1
#define FAILED 2 /* and listed by its worker */
#define OVER 3   /* ended otherwise, or acknowledged */

byte state[RUNS];  /* of each run */
byte worker[RUNS]; /* where it was started */
bool lapsed[RUNS]; /* its worker's lease was over before its end was heard of */
byte started = 0;  /* runs */
byte failures = 0; /* all */
byte needed = 0;   /* of these, those that have to count */

/* the planner: failures counted, runs among them, runs that count no more */
byte count = 0, closed = 0, counted = 0;
byte heard = 3;
/* the same as stored */
byte s_count = 0, s_closed = 0, s_counted = 0;

#define bit(i) (1 << (i))
#define is_counted(set, through, r) ((r) < (through) || ((set) & bit (r)) != 0)

/* A list with a run at work there says nothing of its end. */
inline hear(w)
{
  r = 0;
  do
  :: r < started ->
     if
     :: (worker[r] == w && state[r] == FAILED
         && (!TOLD_APART || !is_counted (counted, closed, r))
         && count < 2 * RUNS) ->
        count++;
        counted = counted | bit (r)
     :: else
     fi;
     r++
  :: else -> break
  od;
  if
  :: (state[started - 1] == RUNNING && worker[started - 1] == w)
  :: else -> heard = heard | bit (w)
  fi
}

inline acknowledge(w)
{
  r = 0;
  do
  :: r < started ->
     if
     :: (worker[r] == w && state[r] == FAILED
         && (ACK_STORED -> is_counted (s_counted, s_closed, r)
                        : is_counted (counted, closed, r))) ->
        state[r] = OVER
     :: else
     fi;
     r++
  :: else -> break
  od
}

/* Out of reach until its lease is over. */
inline lapse(w)
{
  r = 0;
  do
  :: r < started ->
     if
     :: (worker[r] == w && state[r] == RUNNING) -> state[r] = OVER
     :: (worker[r] == w && state[r] == FAILED && !lapsed[r]) ->
        lapsed[r] = true;
        needed--
     :: else
     fi;
     r++
  :: else -> break
  od;
  heard = heard | bit (w)
}

#define is_stored \
  (s_count == count && s_closed == closed && s_counted == counted)
#define none_runs (started == 0 || state[started - 1] != RUNNING)

active proctype world()
{
  byte r;
  byte w;

  do
  :: atomic { (started > 0 && state[started - 1] == RUNNING) ->
       state[started - 1] = FAILED; failures++; needed++ }
  :: atomic { (started > 0 && state[started - 1] == RUNNING) ->
       state[started - 1] = OVER }
  :: atomic { (started > 0) -> if :: w = 0 :: w = 1 fi; hear (w) }
  :: atomic { (started > 0) -> if :: w = 0 :: w = 1 fi; acknowledge (w) }
  :: atomic { (started > 0) -> if :: w = 0 :: w = 1 fi; lapse (w) }
  :: atomic { (ONE_COMMIT && !is_stored) ->
       s_count = count; s_closed = closed; s_counted = counted }
  :: atomic { (!ONE_COMMIT && !is_stored) -> s_count = count }
  :: atomic { (!ONE_COMMIT && !is_stored) ->
       s_closed = closed; s_counted = counted }
  /* a takeover */
  :: atomic { (heard != 0 || !is_stored) ->
       count = s_count; closed = s_closed; counted = s_counted; heard = 0 }
  /* a start */
  :: atomic { (started < RUNS && none_runs && (!HEARD || heard == 3)) ->
       assert (count <= failures);
       assert (count >= needed);
       if :: w = 0 :: w = 1 fi;
       worker[started] = w;
       state[started] = RUNNING;
       closed = (CLOSE_LOWER -> started : started + 1);
       started++;
       counted = counted & ~(bit (closed) - 1);
       heard = heard & ~bit (w) }
  :: atomic { (started == RUNS && none_runs && heard == 3) ->
       assert (count <= failures);
       assert (count >= needed);
       break }
  od
}
