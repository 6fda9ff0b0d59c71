/*
 * One task, two workers, a planner and its successor.  The planner starts the
 * task only where the successor will look for it: at a worker named in the
 * job's own row, or recorded behind it.  The successor waits for these, and for
 * no other, unless it hears them.  Two runs at once are an error.
 */

/* commits of the old planner fail behind the fence */
#ifndef TERM_CONDITION
#define TERM_CONDITION 1
#endif
/* no start on a worker in neither list */
#ifndef RECORD_FIRST
#define RECORD_FIRST 1
#endif
/* the successor waits for the workers of the row */
#ifndef WAIT_FOR_NAMED
#define WAIT_FOR_NAMED 1
#endif
/* and for those recorded behind it */
#ifndef WAIT_FOR_RECORDED
#define WAIT_FOR_RECORDED 1
#endif

#define WORKERS 2

bool fenced = false;
bool stored = false;
bool named[WORKERS];
bool recorded[WORKERS];
bool heard[WORKERS]; /* by the successor, whose token refuses the other's */
bool running[WORKERS];
bool bound_is_over = false; /* of the old planner's orders and leases */

#define may_commit (!fenced || !TERM_CONDITION)
#define may_start(w)                                                           \
  (stored && !bound_is_over && !heard[w]                                       \
   && (named[w] || recorded[w] || !RECORD_FIRST))

active proctype old_planner ()
{
  byte w;

  atomic
  {
    if
    :: may_commit ->
       if
       :: named[0] = true
       :: named[1] = true
       :: named[0] = true; named[1] = true
       :: skip
       fi;
       stored = true
    :: else -> goto gone
    fi
  }
  do
  :: atomic
     {
       select (w : 0 .. 1);
       if
       :: may_commit -> recorded[w] = true
       :: else
       fi
     }
  :: atomic
     {
       select (w : 0 .. 1);
       if
       :: may_start (w) ->
          assert (!running[1 - w]);
          running[w] = true;
          goto gone
       :: else
       fi
     }
  :: break
  od;
gone:
  skip
}

active proctype successor ()
{
  bool wait[WORKERS];
  bool known = false;
  byte w;

  fenced = true;
  atomic
  {
    known = stored;
    wait[0] = ((named[0] && WAIT_FOR_NAMED)
               || (recorded[0] && WAIT_FOR_RECORDED));
    wait[1] = ((named[1] && WAIT_FOR_NAMED)
               || (recorded[1] && WAIT_FOR_RECORDED))
  }
  if
  :: !known -> goto done
  :: else
  fi;
  do
  :: atomic
     {
       select (w : 0 .. 1);
       if
       :: !heard[w] ->
          heard[w] = true;
          if
          :: running[w] -> goto done /* taken over */
          :: else
          fi
       :: else
       fi
     }
  :: heard[0] || heard[1] -> break
  od;
  atomic
  {
    if
    :: (wait[0] && !heard[0]) || (wait[1] && !heard[1]) ->
       bound_is_over = true;
       if
       :: !heard[0] -> running[0] = false
       :: else
       fi;
       if
       :: !heard[1] -> running[1] = false
       :: else
       fi
    :: else
    fi
  }
  atomic
  {
    if
    :: heard[0] -> w = 0
    :: heard[1] -> w = 1
    fi;
    assert (!running[1 - w]);
    running[w] = true
  }
done:
  skip
}
