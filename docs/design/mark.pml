/* Model of the roster's mark of a worker that was not heard: planners in turn,
   one worker, its row.  The first planner has heard the worker and renews its
   lease; each of them trusts its claim for TRUST after the next one has claimed,
   and may or may not hear the worker.  One may end, and the next one learn of it.  Commits may be carried out late and their
   answers be lost.  A planner that did not hear the worker takes it as free when
   the mark that it read, or its own wait, is over; no lease may last then.
   spin -a mark.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E */
#ifndef NP
#define NP 4
#endif
#define TRUST 2
#define LEASE 1
#define END 6
/* the one that may end */
#define ENDS 2
/* Guards, all needed.  No lease is asked while the mark may stand: */
#ifndef NO_LEASE_MARKED
#define NO_LEASE_MARKED 1
#endif
/* the mark counts the trust of former planners: */
#ifndef MARK_TRUST
#define MARK_TRUST 1
#endif
/* a commit expects the roster's fence, which the one before has renewed: */
#ifndef ROSTER_FENCE
#define ROSTER_FENCE 1
#endif
/* a mark that was sent counts as standing before it is answered: */
#ifndef COUNT_SENT
#define COUNT_SENT 1
#endif
/* and is carried out only while its planner's claim stands: */
#ifndef ON_CLAIM
#define ON_CLAIM 1
#endif

/* where the planner before is known to have ended, those before that one may
   still trust their claims: */
#ifndef COUNT_EARLIER
#define COUNT_EARLIER 1
#endif
/* and what it ordered lasts on: */
#ifndef COUNT_LEASE
#define COUNT_LEASE 1
#endif
/* nothing less than its end shows that it orders no more: */
#ifndef ENDED
#define ENDED 1
#endif

byte now = 1, claim = 1;
byte row = 0; /* 0: no mark */
byte token = 1, lease = 2;

/* planners, from 1 on */
byte began[NP + 2]; /* 0: not yet */
bool heard[NP + 2], may_stand[NP + 2], fresh[NP + 2];
byte mine[NP + 2];  /* the mark that it read; 0: none */
byte sent[NP + 2];  /* a mark on its way; 0: none */
bool sent_fresh[NP + 2];
bool ended[NP + 2]; /* its process */
byte over[NP + 2];  /* former planners order no more, as far as it knows */

byte i, p;

#define trusts(p) (!ended[p] && (claim == p || now < began[p + 1] + TRUST))
#define own_wait(p) (over[p] + (COUNT_LEASE -> LEASE : 0))
#define earlier(p) (COUNT_EARLIER && began[p - 1] + TRUST > now -> began[p - 1] + TRUST : now)
#define is_over(p) (now > own_wait (p) || (mine[p] != 0 && now > mine[p]))

inline store (value)
{
  row = value;
  i = 1;
  do
  :: i <= NP -> fresh[i] = false; sent_fresh[i] = false; i++
  :: else -> break
  od;
  i = 0
}

active proctype cell ()
{
  atomic { began[1] = 1; heard[1] = true; fresh[1] = true }
  do
  :: d_step { now < END -> now++ }
  :: d_step { claim < NP ->
       claim++;
       began[claim] = now; mine[claim] = row; fresh[claim] = true;
       over[claim] = now + TRUST;
       may_stand[claim] = (row != 0) }
  :: atomic {
       p = 1;
       do
       :: p < claim -> p++
       :: break
       od;
       if
       /* its process ends */
       :: p == ENDS -> ended[p] = true
       /* learns that the one before has ended */
       :: !ended[p] && p > 1 && (ended[p - 1] || !ENDED) && over[p] > earlier (p) ->
          over[p] = earlier (p)
       /* reads the fence again */
       :: !fresh[p] -> fresh[p] = true
       /* sends a mark */
       :: !heard[p] && mine[p] == 0 && sent[p] == 0 && trusts (p) ->
          sent[p] = (MARK_TRUST -> own_wait (p) : began[p] + LEASE);
          sent_fresh[p] = fresh[p];
          may_stand[p] = (COUNT_SENT -> true : may_stand[p])
       /* it is carried out, and answered or not, or it fails */
       :: sent[p] != 0 ->
          if
          :: (claim == p || !ON_CLAIM) && (sent_fresh[p] || !ROSTER_FENCE) ->
             store (sent[p]);
             if
             :: may_stand[p] = true; fresh[p] = true
             :: skip
             fi
          :: else
          fi;
          sent[p] = 0
       /* hears the worker */
       :: !heard[p] && trusts (p) && token <= p ->
          heard[p] = true; token = p
       /* writes the entry without mark */
       :: !ended[p] && heard[p] && claim == p && (may_stand[p] || row != 0) && (fresh[p] || !ROSTER_FENCE) ->
          store (0);
          if
          :: may_stand[p] = false; fresh[p] = true
          :: skip
          fi
       /* renews */
       :: heard[p] && trusts (p) && token <= p && now + LEASE > lease && (!may_stand[p] || !NO_LEASE_MARKED) ->
          lease = now + LEASE
       /* takes it as free */
       :: !ended[p] && !heard[p] && claim == p && is_over (p) -> assert (now > lease)
       :: else
       fi;
       p = 0 }
  od
}
