#ifndef SUPPORT_CELL_WORLD_PRIVATE_H
#define SUPPORT_CELL_WORLD_PRIVATE_H

#include "support/cell_world.h"

/* What the parts of a fake cell share. */

/* Something that arrives at a cell, or an order that arrives at a worker,
 * later. */
struct WorldEvent
{
  int64_t due_ms;
  uint32_t cell;
  uint64_t incarnation; /* of the cell meant */
  MuxCellReply *reply;
  MuxCellCall *waiting; /* a FOLLOW or RENEW that waits for something new */
  MuxCellCall *late;    /* an order or a COMMIT that is carried out then */
  uint32_t life;        /* RENEW: of the worker that it waits at */
  bool lost;            /* a FOLLOW at a store that went silent */
  bool waited;          /* in the queue of a cell that is late */
  bool is_peer;
  MuxPeerMsg peer;
  WorldEvent *prev;
  WorldEvent *next;
};

/** world_event_new() - at a cell, or at a worker, in @in_ms */
WorldEvent *world_event_new (World *world, uint32_t cell, int64_t in_ms);
/** world_answer_call() - takes @reply over */
void world_answer_call (World *world,
                        uint32_t cell,
                        MuxCellReply *reply,
                        int64_t in_ms);
WorldRow *world_row_find (World *world,
                          MuxCellTable table,
                          const char *part,
                          const char *key);

/** world_size_of() - what a task needs; nothing for one of a job that was not
 * handed in here */
MuxSize world_size_of (const World *world, const MuxTaskRef *task);

/* cell_world_workspaces.c */
/** world_key() - that callers show */
void world_copy_key (const World *world, MuxRequest *question);
/** world_workspace_of() - of the key that callers show; "": of none */
const char *world_workspace_of (const World *world);
/** world_check_quota() - a start that brings a workspace over what it may have
 * running is counted */
void world_check_quota (World *world, const MuxTaskRef *task);
void world_workspaces_free (World *world);

/** world_task_ms() - how long a run of the task takes */
int64_t world_task_ms (const World *world, const MuxTaskRef *task);

/* cell_world_worker.c */
void world_add_worker (World *world, uint32_t number);
/** world_list_worker() - its entry stands in the list, or is renewed */
void world_list_worker (World *world, uint32_t number);
WorldWorker *world_worker_at (World *world, const char *addr);
/** world_in_reach() - of the calls of @cell; false for NULL */
bool
world_in_reach (const World *world, uint32_t cell, const WorldWorker *worker);
bool world_has_unacked_ends (const WorldWorker *worker, uint64_t acked);
/** world_worker_serves() - carry @call out; Return: its answer */
MuxCellReply *world_worker_execute (World *world,
                                    WorldWorker *worker,
                                    const MuxCellCall *call);
/** world_worker_call() - takes @call over, which @cell sends */
void world_worker_call (World *world, uint32_t cell, MuxCellCall *call);
/** world_proof() - that the present life of the worker takes */
void
world_proof (const World *world, const char *id, char proof[MUX_TOKEN_LEN]);
/** world_step_workers() - end what ends now */
void world_step_workers (World *world);

#endif
