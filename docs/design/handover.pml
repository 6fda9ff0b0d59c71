/* Model of the handover between planners: how long former planners may order, as
   their successor knows it (claim_lease.c, predecessor.c, claim.c, handover.c).  Daemons take
   the claim in turn, give it up, claim again and restart; a planner either hears
   the one worker and renews its lease whenever it may order, or hears it never and
   takes it as free when its wait is over: no lease may last then.  Commits may
   fail, be carried out late and their answers be lost.  A daemon that does nothing
   is frozen or cut off.  Greetings say of the store what they like, and may be late;
   one without which the sender knows less, or the planner orders less, is left out.
   Seen: 3,922,243 states, no error; with one guard as 0 an error, but for RECENT (no
   error in 4,101,713 states: not shown to be needed within these bounds).  In place
   of ROW_LONG the code counts a second from when a claim's row is read, as long as its
   holder has given no sign of life.  Not run by `make model`.
   spin -a [-DND=3 ...] handover.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E */
#ifndef ND
#define ND 2 /* daemons */
#endif
#ifndef NT
#define NT 3 /* claims taken */
#endif
/* claims given up, terms that end for another reason, restarts and late greetings
   in all */
#ifndef ODD
#define ODD (1)
#endif
#ifndef END
#define END 5
#endif
#define SHORT 1
#define LONG 2
#define LEASE 1
/* what a member says counts for so long; it counts as a member so long before
   the last proof */
#define SAID 1
#define MEMBER 1
/* Guards, all needed but RECENT, as far as seen.  The claim is taken on condition
   of the last sign of life that its taker has read: */
#ifndef ON_BEAT
#define ON_BEAT 1
#endif
/* a reading of the claim counts for no trust: */
#ifndef BEATS_ONLY
#define BEATS_ONLY 1
#endif
/* nothing is ordered from before the claim is given up: */
#ifndef STOP_FIRST
#define STOP_FIRST 1
#endif
/* and where the answer to that is lost, the term ends: */
#ifndef LOST_ENDS
#define LOST_ENDS 1
#endif
/* long trust is counted unless greetings rule it out: */
#ifndef COUNT_LONG
#define COUNT_LONG 1
#endif
/* that it took before the short trust was over: it may have trusted its claim for
   long until then, */
#ifndef SINCE
#define SINCE 1
#endif
/* that were sent not long before the last sign of life was read, */
#ifndef RECENT
#define RECENT 1
#endif
/* that no later one followed which said that the store fails, */
#ifndef NO_FAILING
#define NO_FAILING 1
#endif
/* and that the holder of this claim took: */
#ifndef THIS_TERM
#define THIS_TERM 1
#endif
/* a greeting that was overtaken is not taken: */
#ifndef OVERTAKEN
#define OVERTAKEN 1
#endif
/* the former planner's process has stopped if it greets with this claim: */
#ifndef SAME_CLAIM
#define SAME_CLAIM 1
#endif
/* those before the former planner are waited for, too: */
#ifndef ADD_FORMER
#define ADD_FORMER 1
#endif
/* the claim's row is written before it is known what is greeted until it is
   carried out, so greetings count for nothing there: */
#ifndef ROW_LONG
#define ROW_LONG 1
#endif

#define NOBODY 9
#define VERSIONS (NT + ODD + 1)

byte now = 1, lease = 2;
byte taken = 1, odd;

/* the store: the claim's version; by version its holder, that one's process, and
   until when those before may order; the last sign of life: of which claim, and
   what it tells of them */
byte claim = 1;
byte holder[VERSIONS], process[VERSIONS], row_until[VERSIONS];
byte beat_claim, beat_until;

/* daemons; what they know of the store */
byte inc[ND];
byte known[ND];  /* version of the claim; 0: none */
byte seen[ND];   /* it, or a sign of life of its holder, was first read */
bool fresh[ND];  /* the last sign of life is known */
byte earlier[ND]; /* those before the holder order until then */
/* since when the holder has trusted its claim for short alone, and the last
   greeting that shows this; 0: unknown */
byte since[ND], took[ND];

/* as a planner */
byte term[ND], trusted[ND];
bool hears[ND], leaving[ND];
byte until[ND], before[ND]; /* all former planners; those before the last */

/* commits on their way, by sender */
byte c_sent[ND], c_until[ND];
bool c_fresh[ND], c_old[ND];
byte c_done[ND]; /* the version it was given */
byte l_on[ND], l_until[ND];

/* members by planner and sender: when it greeted last; 0: never */
byte heard[ND * ND];
bool says_ok[ND * ND];
/* a late greeting that says that the store fails, and if it was overtaken */
bool late[ND * ND], overtaken[ND * ND];

byte i, d, e, u, w, version;
bool all_fail;

#define at(p, s) ((p) * ND + (s))
#define later(a, b) ((a) > (b) -> (a) : (b))
#define trust_until(s) \
  (since[s] != 0 || !COUNT_LONG \
   -> later (seen[s] + SHORT, (SINCE -> since[s] : 0)) : seen[s] + LONG)
#define gone(s) (holder[known[s]] == NOBODY || holder[known[s]] == s)
#define former(s) (ADD_FORMER -> earlier[s] : 0)
#define holder_until(s) (gone (s) -> now : trust_until (s))
#define orders_until(s) (later (holder_until (s), former (s)))
/* as the claim's row tells it */
#define row_holder_until(s) \
  (gone (s) -> now : (ROW_LONG -> seen[s] + LONG : trust_until (s)))
#define row_says(s) (later (row_holder_until (s), former (s)))

inline depose (x)
{
  term[x] = 0; trusted[x] = 0; hears[x] = false; leaving[x] = false;
  until[x] = 0; before[x] = 0;
  i = 0;
  do
  :: i < ND ->
     heard[at (x, i)] = 0; says_ok[at (x, i)] = false;
     overtaken[at (x, i)] = false;
     i++
  :: else -> break
  od;
  i = 0
}

/* Another claim stands: what is on its way on condition of the former one will
   be refused. */
inline claim_changes ()
{
  row_until[claim] = 0;
  claim++;
  i = 0;
  do
  :: i < ND ->
     if
     :: c_done[i]
     :: else -> c_sent[i] = 0; c_until[i] = 0; c_fresh[i] = false; c_old[i] = false
     fi;
     l_on[i] = 0; l_until[i] = 0;
     i++
  :: else -> break
  od;
  i = 0
}

/* What is past for so long that it makes no difference. */
#define forget(t) t = (t + LEASE < now -> 0 : t)

inline pass ()
{
  now++;
  lease = (lease < now -> 0 : lease);
  forget (beat_until); forget (row_until[claim]);
  i = 0;
  do
  :: i < ND ->
     forget (earlier[i]); forget (until[i]); forget (before[i]);
     forget (c_until[i]); forget (l_until[i]);
     i++
  :: else -> break
  od;
  i = 0
}

/* Whoever may order does, and whose wait is over takes the worker as free. */
inline settle ()
{
  e = 0;
  do
  :: e < ND ->
     all_fail = true;
     i = 0;
     do
     :: i < ND ->
        /* counts like one that the store serves */
        says_ok[at (e, i)] = says_ok[at (e, i)] ||
          (heard[at (e, i)] != 0 && now > heard[at (e, i)] + SAID);
        if
        :: heard[at (e, i)] + MEMBER < trusted[e] ->
           heard[at (e, i)] = 0; says_ok[at (e, i)] = false
        :: else
        fi;
        if
        :: heard[at (e, i)] != 0 && heard[at (e, i)] + MEMBER >= trusted[e] &&
           says_ok[at (e, i)] ->
           all_fail = false
        :: else
        fi;
        i++
     :: else -> break
     od;
     i = 0;
     if
     :: term[e] != 0 && hears[e] && !leaving[e] && trusted[e] != 0 &&
        now <= trusted[e] + (all_fail -> LONG : SHORT) -> lease = now + LEASE
     :: else
     fi;
     e++
  :: else -> break
  od;
  all_fail = false;
  e = 0;
  do
  :: e < ND ->
     if
     :: term[e] != 0 && !hears[e] && claim == term[e] &&
        now > until[e] + LEASE -> assert (now > lease)
     :: else
     fi;
     e++
  :: else -> break
  od;
  e = 0
}

/* The claim's row is read.  An own claim is found in it, or its answer, which
   proves it, has come. */
inline read_claim (x, v, answered, listens)
{
  if
  :: holder[v] == x && process[v] == inc[x] ->
     u = orders_until (x); w = former (x);
     e = (answered -> c_sent[x] : 0);
     c_sent[x] = 0; c_done[x] = 0;
     depose (x);
     term[x] = v; trusted[x] = (listens -> e : 0); hears[x] = listens;
     until[x] = u; before[x] = w;
     u = 0; w = 0; e = 0
  :: else ->
     if
     :: c_done[x] != 0 -> c_sent[x] = 0; c_done[x] = 0
     :: else
     fi;
     if
     :: term[x] != 0 -> depose (x)
     :: else
     fi
  fi;
  known[x] = v; seen[x] = (gone (x) -> 0 : now);
  if
  :: THIS_TERM -> took[x] = 0; since[x] = 0
  :: else
  fi;
  earlier[x] = row_until[v];
  if
  :: fresh[x] && beat_claim == v && beat_until < earlier[x] ->
     earlier[x] = beat_until
  :: else
  fi
}

inline read_beat (x)
{
  fresh[x] = true; seen[x] = (gone (x) -> 0 : now);
  if
  :: RECENT && seen[x] > took[x] + MEMBER -> took[x] = 0; since[x] = 0
  :: else -> since[x] = (since[x] != 0 -> 1 : 0)
  fi;
  if
  :: beat_claim == claim && beat_until < earlier[x] -> earlier[x] = beat_until
  :: else
  fi
}

inline claim_is_lost (x)
{
  c_sent[x] = 0; c_until[x] = 0; c_fresh[x] = false; c_old[x] = false
}

inline claim_is_carried_out (x)
{
  if
  :: (c_fresh[x] || !ON_BEAT) && taken < NT ->
     e = (c_old[x] -> inc[x] - 1 : inc[x]); u = c_until[x];
     c_done[x] = (c_old[x] -> 0 : claim + 1);
     c_until[x] = 0; c_fresh[x] = false; c_old[x] = false;
     if
     :: c_done[x]
     :: else -> c_sent[x] = 0
     fi;
     claim_changes ();
     taken++;
     holder[claim] = x; process[claim] = e; row_until[claim] = u;
     u = 0; e = 0
  :: else -> claim_is_lost (x)
  fi
}

/* Its answer comes at once, which lets its sender order the most: one that is
   carried out later, or answered later, proves no more and is read no sooner. */
inline beat (x)
{
  beat_claim = claim; beat_until = until[x];
  i = 0;
  do
  :: i < ND -> fresh[i] = false; c_fresh[i] = false; i++
  :: else -> break
  od;
  i = 0;
  trusted[x] = (hears[x] -> now : 0)
}

inline leave_is_carried_out (x)
{
  u = l_until[x];
  claim_changes ();
  holder[claim] = NOBODY; row_until[claim] = u;
  u = 0
}

inline restart (x)
{
  odd++; inc[x]++;
  depose (x);
  known[x] = 0; seen[x] = 0; fresh[x] = false; earlier[x] = 0;
  took[x] = 0; since[x] = 0;
  if
  :: c_done[x] -> c_sent[x] = 0; c_done[x] = 0
  :: c_sent[x] != 0 && !c_done[x] -> c_old[x] = true
  :: else
  fi
}

#define planned_by(x) (holder[known[x]])
#define may_greet(x) (term[x] == 0 && known[x] != 0 && planned_by (x) != NOBODY \
                      && planned_by (x) != x)
#define takes(p) (term[p] != 0)

inline noted (p, x, ok)
{
  if
  :: hears[p] -> heard[at (p, x)] = now; says_ok[at (p, x)] = ok
  :: else
  fi;
  overtaken[at (p, x)] = late[at (p, x)]
}

inline fails (x)
{
  if
  :: NO_FAILING -> since[x] = 0; took[x] = 0
  :: else
  fi
}

#define last(x) (holder[term[x] - 1])
#define has_stopped(x) \
  (inc[last (x)] != process[term[x] - 1] \
   || (term[last (x)] == 0 && known[last (x)] != 0 \
       && (known[last (x)] == term[x] || !SAME_CLAIM)))

active proctype cell ()
{
  d_step {
    holder[0] = NOBODY; holder[1] = 0; term[0] = 1; trusted[0] = 1; hears[0] = true;
    i = 0;
    do
    :: i < ND -> known[i] = 1; seen[i] = 1; fresh[i] = true; i++
    :: else -> break
    od;
    i = 0; beat_claim = 1; settle ()
  }
  do
  :: d_step { now < END -> pass (); settle () }
  :: atomic {
       d = 0;
       do
       :: d < ND - 1 -> d++
       :: break
       od;
       if
       /* reads the claim, which may be its own */
       :: d_step { known[d] != claim -> read_claim (d, claim, false, true); settle () }
       :: d_step { known[d] != claim -> read_claim (d, claim, false, false); settle () }
       /* has an answer that proves its claim, which may have ended since */
       :: d_step { c_done[d] != 0 ->
            version = c_done[d]; read_claim (d, version, true, true);
            version = 0; settle () }
       :: d_step { known[d] == claim && !fresh[d] -> read_beat (d) }
       /* sends a claim; it is carried out, or never */
       :: d_step { term[d] == 0 && known[d] == claim && taken < NT && c_sent[d] == 0 &&
                   (fresh[d] || !ON_BEAT) ->
            c_sent[d] = now; c_fresh[d] = fresh[d];
            c_until[d] = row_says (d) }
       :: d_step { c_sent[d] != 0 && !c_done[d] -> claim_is_carried_out (d); settle () }
       :: d_step { c_sent[d] != 0 && !c_done[d] ->
            claim_is_lost (d) }
       /* a sign of life */
       :: d_step { term[d] != 0 && term[d] == claim -> beat (d); settle () }
       :: d_step { !BEATS_ONLY && term[d] != 0 && term[d] == claim ->
            trusted[d] = now; settle () }
       /* gives its claim up; that is carried out, or certainly not, or its answer
          is lost */
       :: d_step { term[d] != 0 && term[d] == claim && !leaving[d] && l_on[d] == 0 &&
                   odd < ODD ->
            odd++; l_on[d] = claim; l_until[d] = until[d]; leaving[d] = STOP_FIRST }
       :: d_step { l_on[d] != 0 -> leave_is_carried_out (d); settle () }
       :: d_step { l_on[d] != 0 ->
            if
            :: l_on[d] == term[d] -> leaving[d] = false
            :: else
            fi;
            l_on[d] = 0; l_until[d] = 0; settle () }
       :: d_step { term[d] != 0 && leaving[d] ->
            if
            :: LOST_ENDS -> depose (d)
            :: else -> leaving[d] = false
            fi;
            settle () }
       /* ends its term for another reason; is restarted */
       :: d_step { term[d] != 0 && odd < ODD -> odd++; depose (d) }
       :: d_step { odd < ODD -> restart (d) }
       /* greets the planner that it knows: the store serves it, the planner takes
          that and is heard to have done so; */
       :: d_step { may_greet (d) && takes (planned_by (d)) &&
                   (term[planned_by (d)] == known[d] || !THIS_TERM) ->
            noted (planned_by (d), d, true); took[d] = now;
            since[d] = (since[d] != 0 -> since[d] :
              (now <= seen[d] + SHORT -> 1 : now));
            settle () }
       /* the store fails it: this is taken, or late */
       :: d_step { may_greet (d) && takes (planned_by (d)) ->
            fails (d); noted (planned_by (d), d, false); settle () }
       :: d_step { may_greet (d) && odd < ODD && !late[at (planned_by (d), d)] ->
            odd++;
            fails (d); late[at (planned_by (d), d)] = true }
       :: atomic {
            e = 0;
            do
            :: e < ND - 1 -> e++
            :: break
            od;
            if
            :: d_step { late[at (d, e)] && takes (d) ->
                 if
                 :: hears[d] && (!overtaken[at (d, e)] || !OVERTAKEN) ->
                    heard[at (d, e)] = now; says_ok[at (d, e)] = false
                 :: else
                 fi;
                 late[at (d, e)] = false; overtaken[at (d, e)] = false;
                 e = 0; settle () }
            :: else -> e = 0
            fi }
       /* learns that the former planner orders no more */
       :: d_step { term[d] != 0 && last (d) != NOBODY && last (d) != d &&
                   until[d] > later (now, before[d]) && has_stopped (d) ->
            until[d] = later (now, before[d]); settle () }
       fi;
       d = 0 }
  od
}
