#ifndef CORE_WORKER_H
#define CORE_WORKER_H

#include "core_private.h"

/**
 * enum ClaimState - this daemon's right to a worker
 */
typedef enum
{
  CLAIM_NONE,
  CLAIM_REQUESTED, /* a claim is on its way */
  CLAIM_HELD,
  CLAIM_RELEASING, /* a release is on its way */
} ClaimState;

/* A worker on the list; only those of this data centre are claimed. */
struct Worker
{
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char rack[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  bool local; /* of this data centre */
  MuxInstanceState listed_state;
  ClaimState claim;
  uint32_t index;           /* in the scheduler while held, or MUX_NO_WORKER */
  uint64_t epoch;           /* ours while held, else the highest known */
  char owner[MUX_NAME_LEN]; /* who held it when last told */
  uint64_t incarnation;
  int64_t clock_offset_ms; /* its clock less ours, never too large */
  uint64_t cursor;
  MuxSize capacity;
  bool leaving; /* by its own word */
  bool usable;  /* gets new work */
  bool renewing;
  uint32_t lease_ms;         /* last asked for */
  int64_t next_call_ms;      /* next claim or renewal */
  int64_t last_contact_ms;   /* last answer */
  uint32_t unanswered_calls; /* calls in a row without an answer */
  Grant *grants;             /* booked on it */
  uint32_t unstarted_grants; /* of which not yet seen started */
  UT_hash_handle hh;
};

void workers_update_list (MuxCore *core, const MuxInstanceList *list);
void workers_tick (MuxCore *core);
int64_t workers_wake_ms (const MuxCore *core);
void workers_free (MuxCore *core);
/** workers_reconsider() - members changed: claim or give up */
void workers_members_changed (MuxCore *core);
/** workers_handover() - a peer gave up its claim for us */
void workers_handover (MuxCore *core, const MuxPeerMsg *msg);
/** workers_usable() - drains or breakers changed */
void workers_update_usable (MuxCore *core);
/** workers_largest() - most of each resource on any worker held */
MuxSize workers_largest (const MuxCore *core);
/** workers_held() - claims held or being given up */
uint32_t workers_held (const MuxCore *core);

Worker *worker_find (MuxCore *core, const char *name);
/** worker_gone() - the platform listed this worker's life as over */
bool worker_gone (MuxCore *core, const char *name);
/** worker_left() - it said by itself that it is leaving */
void worker_set_leaving (MuxCore *core, const char *name);
/** worker_clock_ms() - a moment that the worker's clock has surely reached */
int64_t worker_clock_ms (const MuxCore *core, const Worker *worker);
/** worker_fenced() - a higher epoch or another incarnation was met */
void worker_fenced (MuxCore *core, Worker *worker, MuxReason reason);

#endif
