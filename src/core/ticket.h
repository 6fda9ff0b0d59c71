#ifndef CORE_TICKET_H
#define CORE_TICKET_H

#include "task.h"

/*
 * A ticket lets work that must not run twice be served without the table: it
 * names one worker in one life, which alone can start it, and so is the
 * register of whether it was started.  It is a grant, given to the caller to
 * carry: it is used at once or never.
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
  int64_t not_after_ms; /* worker's clock */
} Ticket;

/** ticket_write() - false: the code can't be made */
bool ticket_write (const MuxCore *core,
                   const Ticket *ticket,
                   char out[MUX_TICKET_LEN]);
/** ticket_read() - false: malformed, or not of this cell's making */
bool ticket_read (const MuxCore *core, const char *text, Ticket *ticket);

/** ticket_ask() - a caller wants one for a class */
void ticket_issue (MuxCore *core, const MuxCoreRequest *ask);
/** ticket_granted() - room was found: answer with the ticket */
void ticket_granted (MuxCore *core, Task *task, const MuxPeerMsg *grant);
/** ticket_request() - a caller comes with one */
void ticket_redeem (MuxCore *core, const MuxCoreRequest *ask);

#endif
