#ifndef PORT_PEER_H
#define PORT_PEER_H

#include "base/blob.h"
#include "base/id.h"
#include "base/reason.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Messages between daemons.  The core (core/core.h) uses those up to JOB_HINT:
 * there a task has a home (the daemon that accepted it and follows it to its
 * end) and a worker an owner (the daemon that has claimed it and books its
 * capacity).  The cell (cell/cell.h) uses the rest.
 */

/**
 * enum MuxPeerVerb - kind of a message between daemons
 */
typedef enum
{
  MUX_PEER_HEARTBEAT,      /* the sender is alive; its state */
  MUX_PEER_GRANT_REQUEST,  /* home to owner: book a place for a task */
  MUX_PEER_GRANT,          /* owner to home: booked on this worker */
  MUX_PEER_GRANT_REFUSED,  /* owner to home: not booked, with the reason */
  MUX_PEER_GRANT_CANCEL,   /* home to owner: no longer wanted */
  MUX_PEER_GRANT_END,      /* home to owner: the task ended, or never starts */
  MUX_PEER_TASK_ENDED,     /* owner to home: the worker lists it as ended */
  MUX_PEER_HANDOVER,       /* the sender released its claim on this worker:
                            * the receiver should claim it */
  MUX_PEER_CONFIG_HINT,    /* a revision was committed */
  MUX_PEER_CONFIG_REQUEST, /* send all changes after this revision */
  MUX_PEER_CONFIG_ROWS,    /* changes in order, as JSON */
  MUX_PEER_BYE,            /* the sender is stopping */
  MUX_PEER_MEMBERS,        /* addresses of daemons the sender considers live */
  MUX_PEER_JOB_HINT,       /* the stored row of this job of the receiver's has
                            * changed */
  MUX_PEER_HELLO,          /* to the planner: the sender is alive and can work
                            * for it */
  MUX_PEER_HELLO_REPLY,    /* from the planner: it is alive and holds the
                            * claim */
  MUX_PEER_JOB_QUERY,      /* to the planner: state of a job or a queue */
  MUX_PEER_JOB_REPLY,      /* from the planner */
  MUX_PEER_APPROVAL_QUERY, /* from the planner: put this approval query to the
                            * policy service */
  MUX_PEER_APPROVAL_REPLY, /* to the planner: its result */
  MUX_PEER_SUBMIT_REQUEST, /* to the planner: store this job */
  MUX_PEER_SUBMIT_REPLY,   /* from the planner: the result */
  MUX_PEER_PROXY_CALL,     /* from the planner: make this call to a worker */
  MUX_PEER_PROXY_REPLY,    /* to the planner: its result */
  MUX_PEER_VERB_COUNT
} MuxPeerVerb;

/**
 * struct MuxPeerMsg - one message between daemons
 * @verb: kind; it says which of the other fields are used
 * @from: sending instance
 * @from_dc: its data centre                            (HEARTBEAT)
 * @from_addr: its peer address                         (HEARTBEAT, HELLO, …)
 * @from_incarnation: start of its process, in ms       (all)
 * @to: receiving instance
 * @revision: configuration in force at the sender      (HEARTBEAT, CONFIG_*)
 * @stopping: it accepts no new work                    (HEARTBEAT, HELLO)
 * @free: room left on its workers together             (HEARTBEAT)
 * @total: capacity of its workers together             (HEARTBEAT)
 * @largest: most of each resource on any of its workers (HEARTBEAT)
 * @queued: requests waiting at it                      (HEARTBEAT); jobs of
 *   the queue that wait                                (JOB_REPLY)
 * @oldest_ms: how long the oldest of them has waited   (HEARTBEAT)
 * @task: the task meant                                (GRANT_*, TASK_ENDED)
 * @group: gang that the task is part of, or none       (GRANT_REQUEST)
 * @group_count: tasks of that gang                     (GRANT_REQUEST)
 * @class_name: class of the task                       (GRANT_REQUEST)
 * @start_within_ms: time left until it should start    (GRANT_REQUEST)
 * @give_up_ms: time left after which it is refused     (GRANT_REQUEST)
 * @worker: worker granted, handed over, or listed      (GRANT, HANDOVER, …)
 * @worker_addr: its address                            (GRANT)
 * @epoch: epoch of the claim                           (GRANT, HANDOVER,
 *   HELLO_REPLY); of the claim that the sender knows   (HELLO)
 * @incarnation: of the worker                          (GRANT)
 * @not_after_ms: deadline of the start, on the worker's clock (GRANT); tells
 *   which grant is meant                               (GRANT_END)
 * @size: what was booked                               (GRANT)
 * @reason: why refused                                 (GRANT_REFUSED)
 * @retry_ms: when to retry                             (GRANT_REFUSED,
 *   SUBMIT_REPLY)
 * @state: how the task ended, a MuxTaskState           (GRANT_END, TASK_ENDED)
 * @ran_ms: how long it ran                             (GRANT_END, TASK_ENDED)
 * @call_id: of the request, returned in its reply      (*_QUERY,
 *   SUBMIT_REQUEST, PROXY_CALL, their *_REPLY); number of the hello (HELLO);
 *   of the hello that is replied to, 0: it was outdated (HELLO_REPLY)
 * @found: the request got a result                     (JOB_REPLY,
 *   APPROVAL_REPLY, PROXY_REPLY)
 * @table_ok: the sender can use the store              (HELLO, HELLO_REPLY,
 *   SUBMIT_REPLY)
 * @cpu_share_milli: sender's share of a processor, in thousandths (HELLO)
 * @link_kbps: rate of its link, in kbit/s; 0: unknown  (HELLO)
 * @memory_mib: its memory, in MiB; 0: unknown          (HELLO)
 * @wall_ms: sender's time of day, 0: not given         (HELLO); the one that
 *   the cell goes by                                   (HELLO_REPLY)
 * @late_ms: how long what arrives waits at the sender  (HELLO_REPLY); the
 *   round-trip time of its last hello, less the wait at the sender (HELLO)
 * @loop_ms: how long what arrives waits at the sender  (HELLO)
 * @job_state: a MuxJobState                            (JOB_REPLY)
 * @outcome: a MuxResponseOutcome                       (SUBMIT_REPLY)
 * @body: JSON (CONFIG_ROWS, HELLO_REPLY, *_QUERY, SUBMIT_REQUEST, PROXY_*,
 *   APPROVAL_REPLY); addresses with blanks between them (MEMBERS); NULL: none;
 *   holds a reference
 */
typedef struct
{
  MuxPeerVerb verb;
  char from[MUX_NAME_LEN];
  char from_dc[MUX_NAME_LEN];
  char from_addr[MUX_ADDR_LEN];
  uint64_t from_incarnation;
  char to[MUX_NAME_LEN];
  uint64_t revision;
  bool stopping;
  MuxSize free;
  MuxSize total;
  MuxSize largest;
  uint32_t queued;
  uint32_t oldest_ms;
  MuxId task;
  MuxId group;
  uint32_t group_count;
  char class_name[MUX_NAME_LEN];
  uint32_t start_within_ms;
  uint32_t give_up_ms;
  char worker[MUX_NAME_LEN];
  char worker_addr[MUX_ADDR_LEN];
  uint64_t epoch;
  uint64_t incarnation;
  int64_t not_after_ms;
  MuxSize size;
  MuxReason reason;
  uint32_t retry_ms;
  uint32_t state;
  uint32_t ran_ms;
  uint64_t call_id;
  bool found;
  bool table_ok;
  uint32_t cpu_share_milli;
  uint32_t link_kbps;
  uint32_t memory_mib;
  int64_t wall_ms;
  uint32_t late_ms;
  uint32_t loop_ms;
  uint32_t job_state;
  uint32_t outcome;
  MuxBlob *body;
} MuxPeerMsg;

const char *mux_peer_verb_name (MuxPeerVerb verb);

#endif
