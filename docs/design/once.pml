/* Model of the at-most-once path. spin -a [-DTOMB=0|-DINCARN=0] once.pml; gcc -O2 -DSAFETY -o pan pan.c; ./pan -m200000 -E
   Seen: 811,651 states, no error; without tombstones, or without incarnations, execs<=1 fails.
   -DTELL fails too, and teaches: see DESIGN.md. */
/* one key, two daemons, two workers; start messages may arrive at any later time;
   a worker may restart and forget; table: conditional insert of intent (worker, incarnation). */
#ifndef INCARN
#define INCARN 1
#endif
#ifndef TOMB
#define TOMB 1
#endif
byte execs=0; bool told_notrun=false; 
/* table */
byte iw=0; byte ii=0; bool settled=false; byte gen=0;  /* iw: worker 1..2, 0 none; gen: revision of the row */
/* workers */
byte inc[3]; bool seen[3]; bool tomb[3]; byte restarts=0;
/* in-flight starts: [worker, incarnation it was meant for] */
chan net=[4] of {byte,byte};
active proctype deliver(){ byte w,i;
 end: do
 :: atomic{ net?w,i -> if
   :: (INCARN && i!=inc[w]) -> skip
   :: else -> if :: (seen[w]||tomb[w]) -> skip :: else -> seen[w]=true; execs++; assert(execs<=1); assert(!told_notrun) fi fi; w=0;i=0 }
 od }
active proctype reboot(){ byte w;
  do :: atomic{ restarts<2 -> if::w=1::w=2 fi; inc[w]++; seen[w]=false; tomb[w]=false; restarts++; w=0 } :: break od }
/* a daemon handling the key */
proctype daemon(){ byte w=0; byte i=0; byte g=0; bool mine; byte tries=0;
 again:
  if :: tries>=2 -> goto out :: else -> tries++ fi;
  /* pick a worker, learned incarnation */
  if :: w=1 :: w=2 fi; i=inc[w];
  atomic{ if :: (iw==0) -> iw=w; ii=i; gen++; g=gen; mine=true :: else -> w=iw; i=ii; g=gen; mine=false fi };
  if
  :: mine ->
     /* daemon may die or freeze here (never reaches the next step) */
     if :: net!w,i :: goto out fi;
     /* no answer heard: settle */
  :: else skip
  fi;
  /* settle: forget at w for incarnation i */
  if
  :: atomic{ (i==inc[w]) -> if
      :: seen[w] -> goto done          /* it ran or runs: answer is done */
      :: else -> if :: TOMB -> tomb[w]=true :: else -> skip fi
      fi }
     /* known not started and never will at (w,i): release the row on condition */
     if
     :: atomic{ (iw==w && gen==g) -> iw=0; gen++; 
#ifdef TELL
        told_notrun=true; assert(execs==0); goto out 
#endif
        }
        goto again
     :: (gen!=g) -> goto again
     fi
  :: (i!=inc[w]) -> goto out           /* unknown: the worker lost its memory */
  :: goto out                          /* unreachable: unknown */
  fi;
 done: skip;
 out: skip }
init { atomic{ run daemon(); run daemon() } }
