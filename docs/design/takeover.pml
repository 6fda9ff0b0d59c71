/* Model of the takeover: two daemons that may plan, a third that only takes jobs
   in, two workers, a job of one task, three claims.  Commits may be carried out
   late and answers be lost; a daemon may learn of a claim, and a start arrive, as
   late as it likes or never; a planner may not hear a worker.  Time stands in one
   step alone, wait(): after it no older planner trusts its claim, and what such a
   one ordered at that worker is over.  Never two runs at once, none after an end
   that was acknowledged.
   spin -a [-DNP=3 ...] takeover.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E
   Seen: 1,466,780 states, no error; with any one of its guards as 0 an error. */
#ifndef NP
#define NP 2
#endif
#ifndef CLAIMS
#define CLAIMS 3
#endif
/* Guards, all needed.  A planner's commits of jobs expect its fence of the part: */
#ifndef FENCED_COMMIT
#define FENCED_COMMIT 1
#endif
/* a job is old below the fence's version, not the claim's: */
#ifndef OLD_BY_FENCE
#define OLD_BY_FENCE 1
#endif
/* the claim is read again after all jobs were read anew: */
#ifndef CONFIRM
#define CONFIRM 1
#endif
/* at its load a planner takes only jobs older than its fence: */
#ifndef LOAD_OLD
#define LOAD_OLD 1
#endif
/* a worker that was not heard is waited for: */
#ifndef WAIT
#define WAIT 1
#endif
/* a worker is in the roster before the first start there: */
#ifndef ROSTER
#define ROSTER 1
#endif
/* and goes into it only after it was heard: */
#ifndef LIST_HEARD
#define LIST_HEARD 1
#endif
/* a wait ends with a proof of the claim that was asked for after it: */
#ifndef PROOF_AFTER
#define PROOF_AFTER 1
#endif
/* a commit to a part is no proof of the claim: */
#ifndef CLAIM_PROOF
#define CLAIM_PROOF 1
#endif

#define FOLLOWER 0
#define LOADING 1
#define PLANNING 2
/* trust[]: by what the claim is taken as ours */
#define BY_CLAIM 1
#define BY_PART 2

/* the store: versions of rows, 0: none */
byte ver = 1;
byte claim = 0, owner = 0, claims = 0;
byte fence = 0, fence_term = 0;
byte job = 0;
bool ended = false;
bool roster[2];

/* on their way: a fence's commit, whose condition holds until another fence is
   written; the answer to a planner's own commit of the job */
byte fence_call[NP]; /* its term */
bool job_answer[NP];

/* daemons */
byte role[NP], term[NP], my_fence[NP], trust[NP];
bool known[NP], old[NP], placed[NP], unconfirmed[NP];
byte heard[NP], dead[NP], listed[NP]; /* bits by worker */
byte done_at[NP];                     /* worker + 1 that lists a good end */

/* starts on their way, one from each daemon: worker + 1, token */
byte start_at[NP], start_token[NP];

/* workers */
byte token[2], run_token[2], void_below[2];
bool runs[2], done[2];
bool noted = false; /* a good end was acknowledged */
bool renewed = false; /* of wait() */
bool again = false; /* a start after a good end, not acknowledged so far */

#define bit(w) (1 << (w))
#define unheard(d) (listed[d] & ~(heard[d] | dead[d]))
#define settled(d) (!old[d] || unheard(d) == 0)
#define may_wait(d, w) (role[d] == PLANNING && (unheard(d) & bit(w)) != 0 \
                        && (!PROOF_AFTER || claim == term[d]))
#define may_place(d) (role[d] == PLANNING && trust[d] != 0 && known[d] \
                      && !placed[d] && !unconfirmed[d] && settled(d))

inline depose(d)
{
  role[d] = FOLLOWER; term[d] = 0; my_fence[d] = 0; trust[d] = 0;
  known[d] = false; old[d] = false; placed[d] = false; unconfirmed[d] = false;
  heard[d] = 0; dead[d] = 0; listed[d] = 0; done_at[d] = 0;
  job_answer[d] = false
}

inline take_job(d)
{
  if
  :: (job != 0 && !known[d]) ->
     known[d] = true;
     old[d] = (OLD_BY_FENCE -> job < my_fence[d] : job < term[d])
  :: else
  fi
}

/* what the row of the claim says, whenever it is read */
inline read_claim(d)
{
  if
  :: (claim != 0 && owner == d && term[d] != claim) ->
     depose(d); role[d] = LOADING; term[d] = claim
  :: (owner != d && term[d] != 0) -> depose(d)
  :: else
  fi
}

inline start_arrives(d, w)
{
  if
  :: (start_token[d] < token[w] || start_token[d] < void_below[w]) -> skip
  :: else ->
     token[w] = start_token[d];
     assert(!runs[0] && !runs[1]);
     assert(!noted);
     if :: (done[0] || done[1]) -> again = true :: else fi;
     runs[w] = true; run_token[w] = start_token[d]
  fi;
  start_at[d] = 0; start_token[d] = 0
}

inline hear(d, w)
{
  if
  :: (term[d] < token[w]) -> trust[d] = 0
  :: else ->
     token[w] = term[d]; heard[d] = heard[d] | bit(w);
     if
     :: runs[w] && known[d] -> placed[d] = true; run_token[w] = term[d]
     :: runs[w] && !known[d] -> runs[w] = false /* stopped as a stray run */
     :: done[w] && known[d] -> placed[d] = true; done_at[d] = w + 1
     :: done[w] && !known[d] -> done[w] = false; noted = true; assert(!again)
     :: else
     fi
  fi
}

inline distrust(e, d)
{
  if
  :: (term[e] != 0 && term[e] < term[d]) ->
     if
     :: trust[e] == BY_CLAIM -> trust[e] = 0
     :: trust[e] == BY_PART -> renewed = true
     :: else
     fi
  :: else
  fi
}

/* the longest trust and the longest lease of an older planner are over */
inline wait(d, w)
{
#if WAIT
  distrust(0, d); distrust(1, d);
#if NP > 2
  distrust(2, d);
#endif
  if
  :: renewed
  :: else ->
     void_below[w] = (void_below[w] < term[d] -> term[d] : void_below[w]);
     if
     :: runs[w] && run_token[w] < term[d] -> runs[w] = false
     :: else
     fi;
     done[w] = false
  fi;
  renewed = false;
#endif
  dead[d] = dead[d] | bit(w)
}

proctype planner(byte d)
{
  byte w;

  do
  /* who plans */
  :: d_step { term[d] == 0 && claims < CLAIMS && !noted && (claims > 0 || d == 0) ->
       ver++; claim = ver; owner = d; claims++ }
  :: d_step { claim != 0 && (owner == d -> term[d] != claim : term[d] != 0) ->
       read_claim(d) }
  :: d_step { role[d] != FOLLOWER && trust[d] == 0 && claim == term[d] ->
       trust[d] = BY_CLAIM }
  /* the takeover: fence, roster, jobs */
  :: d_step { role[d] == LOADING && my_fence[d] == 0 ->
       if
       :: fence_term > term[d] -> depose(d)
       :: fence_term == term[d] -> my_fence[d] = fence
       :: else -> fence_call[d] = term[d]
       fi }
  :: d_step { fence_call[d] != 0 ->
       ver++; fence = ver; fence_term = fence_call[d];
       fence_call[0] = 0; fence_call[1] = 0
#if NP > 2
       ; fence_call[2] = 0
#endif
     }
  :: d_step { role[d] == LOADING && my_fence[d] != 0 ->
       listed[d] = roster[0] + 2 * roster[1];
       if
       :: LOAD_OLD && job > my_fence[d]
       :: else -> take_job(d)
       fi;
       role[d] = PLANNING }
  /* its own commit of the job, and the answer to it */
  :: d_step { (role[d] == PLANNING && job == 0 && !ended &&
               (!FENCED_COMMIT || fence == my_fence[d])) ->
       ver++; job = ver; job_answer[d] = true }
  :: d_step { job_answer[d] && job != 0 -> take_job(d); job_answer[d] = false }
  /* the feed of the jobs, which tells of a claim before a younger job */
  :: d_step { role[d] == PLANNING && job > term[d] && !known[d] ->
       if
       :: claim != term[d] -> read_claim(d)
       :: else -> take_job(d)
       fi }
  /* its history is lost: the part alone is read */
  :: d_step { role[d] == PLANNING && job != 0 && !known[d] ->
       take_job(d); unconfirmed[d] = CONFIRM }
  :: d_step { unconfirmed[d] ->
       if
       :: claim == term[d] -> unconfirmed[d] = false
       :: else -> read_claim(d)
       fi }
  /* workers */
  :: d_step { role[d] == PLANNING && trust[d] != 0 -> hear(d, 0) }
  :: d_step { role[d] == PLANNING && trust[d] != 0 -> hear(d, 1) }
  :: d_step { may_wait(d, 0) -> wait(d, 0) }
  :: d_step { may_wait(d, 1) -> wait(d, 1) }
  :: atomic { role[d] == PLANNING && claim == term[d] ->
       if :: w = 0 :: w = 1 fi;
       if
       :: !LIST_HEARD || (heard[d] & bit(w)) != 0 ->
          roster[w] = true;
          if :: listed[d] = listed[d] | bit(w) :: skip /* answer lost */ fi
       :: else
       fi;
       w = 0 }
  :: atomic { may_place(d) && start_at[d] == 0 ->
       if :: w = 0 :: w = 1 fi;
       if
       :: (heard[d] & bit(w)) != 0 && (!ROSTER || (listed[d] & bit(w)) != 0) ->
          placed[d] = true; start_at[d] = w + 1; start_token[d] = term[d]
       :: else
       fi;
       w = 0 }
  :: d_step { start_at[d] == 1 -> start_arrives(d, 0) }
  :: d_step { start_at[d] == 2 -> start_arrives(d, 1) }
  :: d_step { start_at[d] != 0 -> start_at[d] = 0; start_token[d] = 0 }
  /* a commit of progress that is answered */
  :: d_step { role[d] == PLANNING && !CLAIM_PROOF && fence == my_fence[d] ->
       trust[d] = (claim == term[d] -> BY_CLAIM : BY_PART) }
  :: atomic { done_at[d] != 0 && fence == my_fence[d] ->
       ended = true; job = 0;
       if
       :: (term[d] >= token[done_at[d] - 1] && done[done_at[d] - 1]) ->
          noted = true; done[done_at[d] - 1] = false; assert(!again)
       :: skip /* its answer is lost */
       fi;
       done_at[d] = 0 }
  :: d_step { role[d] != FOLLOWER && my_fence[d] != 0 && fence != my_fence[d] ->
       depose(d) }
  od
}

/* a job handed in at a daemon that does not plan, by its own commit */
active proctype entry()
{
  d_step { job == 0 && !ended -> ver++; job = ver }
}

active proctype work()
{
  do
  :: d_step { runs[0] -> runs[0] = false; done[0] = true }
  :: d_step { runs[1] -> runs[1] = false; done[1] = true }
  od
}

init
{
  atomic {
    run planner(0); run planner(1);
#if NP > 2
    run planner(2);
#endif
  }
}
