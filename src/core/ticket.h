#ifndef CORE_TICKET_H
#define CORE_TICKET_H

#include "task.h"

/*
 * A ticket allows a task that must not run twice without a row in the store.
 * It is a grant that is given to the caller. It names one incarnation of one
 * worker, which alone can start the task and so knows whether it was started.
 * It expires with the grant.
 */
typedef struct
{
  MuxId key;
  char class_name[MUX_NAME_LEN];
  char owner[MUX_NAME_LEN];
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  uint64_t epoch;
  int64_t not_after_ms; /* latest start, on the worker's clock */
} Ticket;

/** ticket_write() - format and sign; false: it can't be signed or is too
 * long */
bool ticket_write (const MuxCore *core,
                   const Ticket *ticket,
                   char out[MUX_TICKET_LEN]);
/** ticket_read() - parse and verify; false: malformed or not signed with this
 * cell's key */
bool ticket_read (const MuxCore *core, const char *text, Ticket *ticket);

/** ticket_issue() - handle a request for a ticket of a class */
void ticket_issue (MuxCore *core, const MuxCoreRequest *request);
/** ticket_granted() - respond with a ticket for the room granted */
void ticket_granted (MuxCore *core, Task *task, const MuxPeerMsg *grant);
/** ticket_redeem() - run the task of a request that presents a ticket */
void ticket_redeem (MuxCore *core, const MuxCoreRequest *request);

#endif
