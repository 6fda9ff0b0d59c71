/* Model of strict revocation: a store that holds the configuration, the operator
   who takes a key away, a daemon that asks the store, and a caller with that key.
   Calls and answers take any time, answers are given from what the store holds at
   any moment between, the daemon may stand still at any moment.  A request sent
   later than REVOKE after the store took the change must not be served.
   spin -a revocation.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E */
#define REVOKE 3
#define END 9
/* Guards, all needed.  A proof is as old as the call that brought it: */
#ifndef FROM_SENT
#define FROM_SENT 1
#endif
/* its age is looked at once the request was read: */
#ifndef AFTER_READ
#define AFTER_READ 1
#endif
/* what an answer shows is known before it proves anything: */
#ifndef TAKE_FIRST
#define TAKE_FIRST 1
#endif
/* an answer that may have been cut short proves nothing: */
#ifndef WHOLE_ONLY
#define WHOLE_ONLY 1
#endif

byte now = 1;
byte revoked = 0; /* when; 0: the key holds */

/* the daemon's call: */
bool out = false;
byte sent = 0;
bool answered = false;
bool shows = false; /* that the key was taken away */
bool cut = false;   /* rows are missing in it */

bool known = false; /* the daemon knows that the key was taken away */
byte proof = 0;     /* 0: none */

/* the request: */
bool under_way = false;
byte asked = 0;
bool looked = false; /* the daemon looked at the proof */
bool young = false;
bool done = false;

active proctype clock ()
{
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype operator_ ()
{
  if
  :: revoked == 0 -> revoked = now
  :: true
  fi
}

active proctype store ()
{
end:
  do
  :: atomic { out && !answered ->
       if
       :: cut = false; shows = (revoked != 0)
       :: cut = true; shows = false
       fi;
       answered = true }
  od
}

active proctype daemon ()
{
  byte at;
end:
  do
  :: atomic { !out -> out = true; answered = false; sent = now }
  :: atomic { out && answered ->
       at = (FROM_SENT -> sent : now);
       if
       :: TAKE_FIRST -> known = known || shows
       :: else
       fi;
       if
       :: (!cut || !WHOLE_ONLY) && at > proof -> proof = at
       :: else
       fi;
       out = false }
  :: atomic { !AFTER_READ && !under_way && !done ->
       looked = true; young = (proof != 0 && now - proof < REVOKE) }
  :: atomic { under_way && AFTER_READ && !looked ->
       looked = true; young = (proof != 0 && now - proof < REVOKE) }
  :: atomic { under_way && looked ->
       if
       :: young && !known ->
          assert (!(revoked != 0 && asked > revoked + REVOKE))
       :: else
       fi;
       under_way = false; done = true }
  od
}

active proctype caller ()
{
  atomic { asked = now; under_way = true }
}
