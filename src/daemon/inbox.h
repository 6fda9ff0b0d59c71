#ifndef DAEMON_INBOX_H
#define DAEMON_INBOX_H

#include "core/core.h"

/*
 * Events for the core thread, in a bounded ring for each kind of sender.
 * Replies of workers and of the platform have rings of their own, which are
 * emptied first, so that a burst of callers or peers can't displace a reply.
 * These two rings never overflow: the core's sink refuses a call while as many
 * calls are outstanding as the ring holds replies.  For the instance list only
 * the latest state is kept: a complete list replaces the one not yet taken, a
 * list of changes is merged into it.
 */
typedef struct MuxDaemonInbox MuxDaemonInbox;

/**
 * struct MuxInboxOptions - construction; capacities are powers of two
 * @counters: borrowed
 * @requests: capacity for callers' requests, and as many disconnects
 * @peers: capacity for messages of peers
 * @worker_replies: capacity for replies of workers
 * @table_replies: capacity for replies of the platform's stores
 */
typedef struct
{
  MuxCounters *counters;
  uint32_t requests;
  uint32_t peers;
  uint32_t worker_replies;
  uint32_t table_replies;
} MuxInboxOptions;

/** mux_inbox_new() - create an inbox
 * Return: NULL when out of memory or of file descriptors. */
MuxDaemonInbox *mux_inbox_new (const MuxInboxOptions *options);
/** mux_inbox_free() - free the inbox and the events left in it
 * No thread may push any more. */
void mux_inbox_free (MuxDaemonInbox *inbox);
/** mux_inbox_port() - the interface for adapters */
MuxInbox *mux_inbox_port (MuxDaemonInbox *inbox);
/** mux_inbox_push_request() - takes ownership of @request if it returns true
 */
bool mux_inbox_push_request (MuxDaemonInbox *inbox, MuxCoreRequest *request);
/** mux_inbox_push_disconnect() - the caller of @call no longer waits
 * Best effort: the event is lost when out of memory or when the ring is full.
 */
void mux_inbox_push_disconnect (MuxDaemonInbox *inbox, uint64_t call);
/** mux_inbox_wake() - make mux_inbox_wait() return */
void mux_inbox_wake (MuxDaemonInbox *inbox);

/* To be called by the core thread only.  The caller owns what is returned;
 * NULL: empty. */
MuxWorkerReply *mux_inbox_take_worker_reply (MuxDaemonInbox *inbox);
MuxTableReply *mux_inbox_take_table_reply (MuxDaemonInbox *inbox);
MuxInstanceList *mux_inbox_take_instances (MuxDaemonInbox *inbox);
MuxPeerMsg *mux_inbox_take_peer_msg (MuxDaemonInbox *inbox);
MuxCoreRequest *mux_inbox_take_request (MuxDaemonInbox *inbox);
/** mux_inbox_take_disconnect() - call of a caller that no longer waits
 * Return: 0: empty. */
uint64_t mux_inbox_take_disconnect (MuxDaemonInbox *inbox);
/** mux_peer_msg_free() - free a message and drop the reference of its body */
void mux_peer_msg_free (MuxPeerMsg *msg);
/** mux_core_request_free() - free a request and drop the reference of its body
 */
void mux_core_request_free (MuxCoreRequest *request);
/** mux_inbox_prepare_wait() - to be called before the rings are polled */
void mux_inbox_prepare_wait (MuxDaemonInbox *inbox);
/** mux_inbox_wait() - wait for an event pushed since mux_inbox_prepare_wait()
 * Returns at once if there is one, and after @timeout_ms at the latest. */
void mux_inbox_wait (MuxDaemonInbox *inbox, int32_t timeout_ms);

#endif
