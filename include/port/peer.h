#ifndef PORT_PEER_H
#define PORT_PEER_H

#include "base/blob.h"
#include "base/id.h"
#include "base/reason.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxPeerVerb - what a message between daemons says
 */
typedef enum
{
  MUX_PEER_HEARTBEAT,      /* I live, this is my state */
  MUX_PEER_GRANT_REQUEST,  /* book a place for a task of mine */
  MUX_PEER_GRANT,          /* booked there */
  MUX_PEER_GRANT_REFUSED,  /* not booked, for this reason */
  MUX_PEER_GRANT_CANCEL,   /* the asker no longer wants it */
  MUX_PEER_GRANT_END,      /* the granted task ended, or never will start */
  MUX_PEER_TASK_ENDED,     /* owner to home: your task ended, as listed */
  MUX_PEER_HANDOVER,       /* I gave up my claim on this worker: take it */
  MUX_PEER_CONFIG_HINT,    /* a revision was committed */
  MUX_PEER_CONFIG_REQUEST, /* send me what you have after this revision */
  MUX_PEER_CONFIG_ROWS,    /* changes, as JSON, in order */
  MUX_PEER_BYE,            /* I am stopping */
  MUX_PEER_MEMBERS,        /* addresses of daemons that I know to live */
  MUX_PEER_JOB_HINT,       /* the row of this job of yours was changed */
  MUX_PEER_HELLO,          /* to the planner: I live and can work for you */
  MUX_PEER_HELLO_REPLY,    /* from the planner: I live and hold the claim */
  MUX_PEER_JOB_QUERY,      /* to the planner: how is this job, this queue */
  MUX_PEER_JOB_REPLY,      /* from the planner: so */
  MUX_PEER_APPROVAL_QUERY, /* from the planner: ask the policy service this */
  MUX_PEER_APPROVAL_REPLY, /* to the planner: it said so */
  MUX_PEER_SUBMIT_REQUEST, /* to the planner: store this job */
  MUX_PEER_SUBMIT_REPLY,   /* from the planner: what became of it */
  MUX_PEER_PROXY_CALL,     /* from the planner: make this call to a worker */
  MUX_PEER_PROXY_REPLY,    /* to the planner: how it ended */
  MUX_PEER_VERB_COUNT
} MuxPeerVerb;

/**
 * struct MuxPeerMsg - one message between daemons
 * @verb: what it says; the fields beside it are those it uses
 * @from: sending instance
 * @from_dc: its data centre                            (HEARTBEAT)
 * @from_addr: its peer address                         (HEARTBEAT, HELLO, …)
 * @from_incarnation: start of its process, in ms       (all)
 * @to: instance that is meant
 * @revision: configuration in force at the sender      (HEARTBEAT, CONFIG_*)
 * @stopping: it takes no new work                      (HEARTBEAT)
 * @free: what its workers could still hold in all      (HEARTBEAT)
 * @total: what its workers hold in all                 (HEARTBEAT)
 * @largest: most of each resource on any of its workers (HEARTBEAT)
 * @queued: requests that wait at it                    (HEARTBEAT)
 * @oldest_ms: how long the first of them has waited    (HEARTBEAT)
 * @task: the task meant                                (GRANT_*, TASK_ENDED)
 * @group: gang that the task is part of, or none       (GRANT_ASK)
 * @group_count: tasks of that gang                     (GRANT_ASK)
 * @class_name: its class                               (GRANT_ASK)
 * @start_within_ms: time left until it should start    (GRANT_ASK)
 * @give_up_ms: time left after which it is refused     (GRANT_ASK)
 * @worker: worker granted, handed over, or listed      (GRANT, HANDOVER, …)
 * @worker_addr: its address                            (GRANT)
 * @epoch: claim's epoch                                (GRANT, HANDOVER,
 *   WELCOME); of the claim that the sender knows       (HELLO)
 * @incarnation: life of the worker                     (GRANT)
 * @not_after_ms: last moment for the start, worker's clock (GRANT); which
 *   grant is meant (GRANT_END)
 * @size: what was booked                               (GRANT)
 * @reason: why refused                                 (GRANT_REFUSED)
 * @retry_ms: when to ask again                         (GRANT_REFUSED,
 *   SUBMIT_TOLD)
 * @state: how the task ended, a MuxTaskState           (GRANT_END, TASK_ENDED)
 * @ran_ms: how long it ran                             (GRANT_END, TASK_ENDED)
 * @call: question that is asked or answered            (*_ASK, *_TOLD);
 *   number of the greeting                             (HELLO), of the one that
 *   was taken; 0: none                                 (WELCOME)
 * @found: the answer is known                          (*_TOLD)
 * @table_ok: the store serves the sender               (HELLO, WELCOME,
 *   SUBMIT_TOLD)
 * @strength_milli: share of a processor, in thousandths (HELLO)
 * @wall_ms: time of day; 0: not told                  (HELLO); that the cell
 *   goes by                                            (WELCOME)
 * @late_ms: how long what arrives waits at the sender  (WELCOME)
 * @job_state: a MuxJobState                            (JOB_TOLD)
 * @outcome: a MuxResponseOutcome                               (SUBMIT_TOLD)
 * @body: JSON of CONFIG_ROWS, WELCOME, *_ASK and APPROVAL_TOLD, addresses of
 * MEMBERS with blanks between them, or NULL; holds a reference
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
  int64_t wall_ms;
  uint32_t late_ms;
  uint32_t job_state;
  uint32_t outcome;
  MuxBlob *body;
} MuxPeerMsg;

const char *mux_peer_verb_name (MuxPeerVerb verb);

#endif
