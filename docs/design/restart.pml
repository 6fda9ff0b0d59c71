/* Model of a worker that starts again under its id, with calls on their way:
   two planners in turn, one worker, one call without an answer at a time.  A
   call that a later incarnation carries out asks for the longest lease, LONG,
   where LEASE is asked for; it is carried out within LATE of its sending, or
   never.  The second planner may hear the worker or not.  A planner that takes
   the leases of an incarnation as over must be right.
   spin -a restart.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E */
#define LATE 3
#define LEASE 1
#define LONG 3
#define END 9
#define LIVES 3
/* Guards, all needed.  A call without an answer yet counts when its incarnation
   has ended: */
#ifndef COUNT_PENDING
#define COUNT_PENDING 1
#endif
/* it counts for each later incarnation, not for the next one alone: */
#ifndef COUNT_ALL
#define COUNT_ALL 1
#endif
/* the roster carries it to the successor: */
#ifndef CARRY
#define CARRY 1
#endif
/* a successor that does not hear the worker waits for it: */
#ifndef UNHEARD
#define UNHEARD 1
#endif
/* one that does counts what was carried out before the first answer: */
#ifndef FIRST_ANSWER
#define FIRST_ANSWER 1
#endif
/* no lease is asked of an incarnation that the roster does not name: */
#ifndef NAMED_FIRST
#define NAMED_FIRST 1
#endif

byte now = 1;
/* the worker */
byte life = 1, token = 0, lease = 0;
/* the call on its way: its incarnation, 0: none; its fence; the lease that it
   asks for, by the clock of its incarnation; until when it may come */
byte call_life = 0, call_fence = 0, call_lease = 0, call_until = 0;
/* the roster: the incarnation that it names, 0: none, and late calls */
byte row = 0, row_late = 0;
/* the planner: 1, then 2.  The incarnation it heard last, 0: none yet; when it
   heard it; until when leases there may last, and calls for earlier ones come */
byte planner = 1, heard = 0, heard_at = 0, bound = 0, late = 0;
/* when the call to the incarnation heard was given up, or may still come */
byte open_until = 0;
/* of the second planner: when the first one ended */
byte ended = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline clean_dead_call() {
  if :: call_life != 0 && call_until < now -> call_life = 0; call_fence = 0; call_lease = 0; call_until = 0
     :: else -> skip fi }

/* the worker answers: it knows the planner's token from then on */
inline answer() {
  token = planner;
  if
  :: heard == 0 && planner == 1 -> late = 0; bound = now + LEASE
  :: heard == 0 && planner == 2 ->
     /* what the predecessor asked for before this answer */
     late = row_late;
     if :: row != 0 && row < life -> late = MAX(late, ended + LATE) :: else -> skip fi;
     bound = MAX(bound, now + LEASE);
     if :: FIRST_ANSWER && late != 0 && late + LONG > now -> bound = MAX(bound, (late < now -> late : now) + LONG) :: else -> skip fi;
     late = 0
  :: heard != 0 && life > heard ->
     if :: COUNT_ALL -> skip :: else -> late = 0 fi;
     if :: COUNT_PENDING && open_until != 0 -> late = MAX(late, open_until) :: else -> skip fi;
     late = MAX(late, now);
     open_until = 0;
     bound = now + LEASE;
     bound = MAX(bound, now + LONG)
  :: heard == life ->
     if :: late != 0 && late + LONG > now -> bound = MAX(bound, (late < now -> late : now) + LONG) :: else -> skip fi
  :: else -> skip
  fi;
  heard = life; heard_at = now }

init {
  do
  /* time passes; a call comes in time or never */
  :: atomic { now < END -> now++; clean_dead_call() }
  /* the worker starts again */
  :: atomic { life < LIVES -> life++; token = 0; lease = 0 }
  /* the call on its way is carried out */
  :: atomic { call_life != 0 && call_life <= life && call_fence >= token ->
       token = call_fence;
       if
       :: call_life == life -> lease = MAX(lease, call_lease)
       :: else -> lease = MAX(lease, now + LONG)
       fi;
       call_life = 0; call_fence = 0; call_lease = 0; call_until = 0 }
  /* the planner hears the worker */
  :: atomic { token <= planner -> answer() }
  /* the first planner writes the roster */
  :: atomic { planner == 1 && heard != 0 && row != heard ->
       row = heard;
       if :: CARRY -> row_late = late :: else -> row_late = 0 fi }
  /* a planner asks for a lease; the call may be lost, or late */
  :: atomic { heard != 0 && call_life == 0 && (!NAMED_FIRST || planner == 2 || row == heard) ->
       call_life = heard; call_fence = planner; call_lease = now + LEASE; call_until = now + LATE;
       open_until = now + LATE;
       bound = MAX(bound, now + LEASE) }
  /* the first planner ends, and the second one reads the roster */
  :: atomic { planner == 1 -> planner = 2; ended = now; heard = 0; heard_at = 0; late = 0; open_until = 0;
       bound = now + LEASE;
       if :: UNHEARD && row_late != 0 -> bound = MAX(bound, row_late + LONG) :: else -> skip fi }
  /* leases of the incarnation heard are taken as over */
  :: atomic { heard != 0 && heard == life && now >= bound && (late <= heard_at || now >= late + LONG) ->
       assert (lease <= now); break }
  /* and those of one that the second planner never heard */
  :: atomic { planner == 2 && heard == 0 && row == life && now >= bound ->
       assert (lease <= now); break }
  :: now == END -> break
  od }
