#ifndef CORE_WORKER_H
#define CORE_WORKER_H

#include "core_private.h"

/* Workers and the claims on them. Each worker has one owner at a time: the
 * member of its data centre with the highest rank for its name claims it under
 * an epoch, renews its lease and books its room. */

/**
 * enum ClaimState - state of this daemon's claim on a worker
 */
typedef enum
{
  CLAIM_NONE,
  CLAIM_REQUESTED, /* a claim call is in flight */
  CLAIM_HELD,
  CLAIM_RELEASING, /* a release call is in flight */
} ClaimState;

/* A worker on the platform's list. Only those of this data centre are claimed
 * by this daemon. */
struct Worker
{
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char rack[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  bool local; /* in this data centre */
  MuxInstanceState listed_state;
  ClaimState claim;
  uint32_t index; /* in the scheduler while held, else MUX_NO_WORKER */
  uint64_t epoch; /* of our claim while held, else the highest known */
  char owner[MUX_NAME_LEN]; /* as last reported by the worker */
  uint64_t incarnation;
  int64_t clock_offset_ms; /* its clock minus ours, a lower bound */
  uint64_t cursor;         /* of the changes of its tasks */
  MuxSize capacity;
  bool leaving; /* reported by the worker itself */
  bool usable;  /* may get new work */
  bool renewing;
  uint32_t lease_ms;         /* last requested */
  int64_t next_call_ms;      /* next claim or renewal call */
  int64_t last_contact_ms;   /* last reply */
  uint32_t unanswered_calls; /* consecutive */
  Grant *grants;             /* booked on it */
  uint32_t unstarted_grants; /* of @grants, not yet reported by the worker */
  UT_hash_handle hh;
};

/** workers_update_list() - apply the platform's list of instances */
void workers_update_list (MuxCore *core, const MuxInstanceList *list);
/** workers_tick() - send claims, renewals and releases that are due */
void workers_tick (MuxCore *core);
int64_t workers_wake_ms (const MuxCore *core);
void workers_free (MuxCore *core);
/** workers_members_changed() - claim at once the workers that this daemon is
 * now responsible for, and update which ones are usable */
void workers_members_changed (MuxCore *core);
/** workers_handover() - claim a worker that a peer released to this daemon */
void workers_handover (MuxCore *core, const MuxPeerMsg *msg);
/** workers_update_usable() - re-evaluate which workers may get new work */
void workers_update_usable (MuxCore *core);
/** workers_largest() - return the maximum of each resource over the workers
 * held */
MuxSize workers_largest (const MuxCore *core);
/** workers_held() - return the number of claims held or being released */
uint32_t workers_held (const MuxCore *core);

Worker *worker_find (MuxCore *core, const char *name);
/** worker_gone() - true if the platform lists the worker's incarnation as
 * gone */
bool worker_gone (MuxCore *core, const char *name);
/** worker_set_leaving() - record the worker's own report that it is leaving */
void worker_set_leaving (MuxCore *core, const char *name);
/** worker_clock_ms() - return a lower bound of the worker's clock */
int64_t worker_clock_ms (const MuxCore *core, const Worker *worker);
/** worker_fenced() - give up the claim after the worker reported a higher
 * epoch or another incarnation */
void worker_fenced (MuxCore *core, Worker *worker, MuxReason reason);

#endif
