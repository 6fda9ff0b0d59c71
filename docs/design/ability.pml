/* Model of handovers by ability and by impairment (handover.c, handover_rows.c,
   claim.c).  Three daemons; which of them is better than the planner, and which
   impaired, changes at any time.  A release may be carried out late, refused, or
   its answer be lost; the claim that follows is taken by any daemon, as the
   successor may be dead.  The successor of a released claim orders at once, so
   that no two daemons may order at the same time; there are at most two handovers
   in the time that they are remembered, and none to a daemon that handed over for
   the same reason in it.  Takeovers from planners that are silent stand in
   handover.pml.  Run by `make model`. */
#ifndef ND
#define ND 3 /* daemons */
#endif
#ifndef NT
#define NT 7 /* changes of the claim */
#endif
/* Guards, all needed.  No orders are sent from before the release on: */
#ifndef STOP_FIRST
#define STOP_FIRST 1
#endif
/* a release that went unanswered ends the term; the daemon orders again only
   under a new claim: */
#ifndef CLAIM_AGAIN
#define CLAIM_AGAIN 1
#endif
/* the release expects the claim that it ends: */
#ifndef EXPECT_CLAIM
#define EXPECT_CLAIM 1
#endif
/* the row remembers the handovers: */
#ifndef REMEMBER
#define REMEMBER 1
#endif
/* there are at most two of them: */
#ifndef RATE
#define RATE 1
#endif
/* and none to one that handed over for the same reason: */
#ifndef EXCLUDE
#define EXCLUDE 1
#endif

#define NOBODY 9
#define ABILITY 0
#define IMPAIRED 1
#define mark(x, y) (1 << ((x) * 2 + (y)))

/* the store: the claim's version, its holder, and the handovers in its row */
byte claim = 1, holder = 0;
byte row_count = 0, row_from = 0;

/* daemons: the claim under which they plan, 0: none; whether they order; the
   handovers that they know of: their number, and marks of who for which reason */
byte term[ND];
bool orders[ND];
byte count[ND], from[ND];

/* releases on their way: the claim that they end, 0: none; to whom and why;
   whether the sender waits for the answer, and that: 1 written, 2 refused */
byte ends[ND], goes_to[ND], why[ND];
byte writes_count[ND], writes_from[ND];
bool waits[ND];
byte answer[ND];

/* what has happened in the time that handovers are remembered */
byte handovers = 0, handed = 0;

byte d, s, reason, i, ordering;

inline check ()
{
  i = 0; ordering = 0;
  do
  :: i < ND -> ordering = ordering + (orders[i] -> 1 : 0); i++
  :: else -> break
  od;
  i = 0;
  assert (ordering <= 1);
  ordering = 0
}

inline take (x)
{
  claim++;
  holder = x;
  term[x] = claim;
  orders[x] = true;
  count[x] = (REMEMBER -> row_count : 0);
  from[x] = (REMEMBER -> row_from : 0)
}

inline release (x)
{
  ends[x] = term[x];
  goes_to[x] = s;
  why[x] = reason;
  writes_count[x] = count[x] + 1;
  writes_from[x] = from[x] | mark (x, reason);
  waits[x] = true;
  answer[x] = 0;
  orders[x] = !STOP_FIRST
}

inline carry_out (x)
{
  if
  :: (ends[x] == claim || !EXPECT_CLAIM) && claim < NT ->
     claim++;
     holder = NOBODY;
     row_count = writes_count[x];
     row_from = writes_from[x];
     handovers++;
     assert (handovers <= 2);
     assert ((handed & mark (goes_to[x], why[x])) == 0);
     handed = handed | mark (x, why[x]);
     answer[x] = (waits[x] -> 1 : 0)
  :: else -> answer[x] = (waits[x] -> 2 : 0)
  fi;
  ends[x] = 0; goes_to[x] = 0; why[x] = 0;
  writes_count[x] = 0; writes_from[x] = 0
}

inline end_term (x)
{
  term[x] = 0; orders[x] = false; count[x] = 0; from[x] = 0
}

active proctype cell ()
{
  d_step { term[0] = 1; orders[0] = true }
  do
  :: atomic {
       d = 0;
       do
       :: d < ND - 1 -> d++
       :: break
       od;
       s = 0;
       do
       :: s < ND - 1 -> s++
       :: break
       od;
       if
       :: reason = ABILITY
       :: reason = IMPAIRED
       fi;
       if
       /* a planner hands over: any member may be better, for any reason */
       :: d_step { term[d] != 0 && orders[d] && term[d] == claim && !waits[d] &&
                   ends[d] == 0 && claim < NT && s != d &&
                   (count[d] < 2 || !RATE) && count[d] < 4 &&
                   ((from[d] & mark (s, reason)) == 0 || !EXCLUDE) ->
            release (d); check () }
       /* the store carries the release out, or refuses it */
       :: d_step { ends[d] != 0 -> carry_out (d); check () }
       /* the answer arrives */
       :: d_step { waits[d] && answer[d] == 1 ->
            waits[d] = false; answer[d] = 0; end_term (d) }
       :: d_step { waits[d] && answer[d] == 2 ->
            waits[d] = false; answer[d] = 0;
            if
            :: term[d] == claim -> orders[d] = true
            :: else -> end_term (d)
            fi;
            check () }
       /* it is lost: the release may still be carried out */
       :: d_step { waits[d] ->
            waits[d] = false; answer[d] = 0;
            if
            :: CLAIM_AGAIN -> end_term (d)
            :: else -> orders[d] = true
            fi;
            check () }
       /* the row shows another claim */
       :: d_step { term[d] != 0 && term[d] != claim && !waits[d] ->
            end_term (d) }
       /* no holder, or an own claim whose term has ended */
       :: d_step { term[d] == 0 && !waits[d] && claim < NT &&
                   (holder == NOBODY || holder == d) ->
            take (d); check () }
       /* the handovers are so old that none counts any more */
       :: d_step { handovers > 0 ->
            handovers = 0; handed = 0; row_count = 0; row_from = 0;
            i = 0;
            do
            :: i < ND ->
               count[i] = 0; from[i] = 0;
               writes_count[i] = (ends[i] != 0 -> 1 : 0);
               writes_from[i] = (ends[i] != 0 -> mark (i, why[i]) : 0);
               i++
            :: else -> break
            od;
            i = 0 }
       fi;
       d = 0; s = 0; reason = 0 }
  od
}
