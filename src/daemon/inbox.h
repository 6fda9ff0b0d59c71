#ifndef DAEMON_INBOX_H
#define DAEMON_INBOX_H

#include "core/core.h"

/*
 * What comes to the core's thread, in bounded rings by sender.  Replies of
 * workers and of the platform have rings of their own, which are emptied
 * first: callers and peers can't push a worker's answer out.  Their room is
 * reserved by the sink, which refuses a call while as many are outstanding as
 * the ring holds.  The instance list has a place for the latest alone: each
 * is whole and makes the one before it worthless.
 */
typedef struct MuxDaemonInbox MuxDaemonInbox;

/**
 * struct MuxInboxOptions - construction; sizes are powers of two
 * @counters: borrowed
 * @asks: callers' questions and hang-ups
 * @peers: messages of peers
 * @worker_replies: replies of workers
 * @table_replies: replies of the platform's stores
 */
typedef struct
{
  MuxCounters *counters;
  uint32_t requests;
  uint32_t peers;
  uint32_t worker_replies;
  uint32_t table_replies;
} MuxInboxOptions;

/** mux_inbox_new() - NULL: memory or descriptors are out */
MuxDaemonInbox *mux_inbox_new (const MuxInboxOptions *options);
/** mux_inbox_free() - nobody pushes any more; frees what is left inside */
void mux_inbox_free (MuxDaemonInbox *inbox);
/** mux_inbox_port() - what adapters are given */
MuxInbox *mux_inbox_port (MuxDaemonInbox *inbox);
/** mux_inbox_ask() - takes @ask over when it returns true */
bool mux_inbox_push_request (MuxDaemonInbox *inbox, MuxCoreRequest *ask);
/** mux_inbox_gone() - best effort */
void mux_inbox_push_disconnect (MuxDaemonInbox *inbox, uint64_t call);
/** mux_inbox_wake() - let mux_inbox_sleep() return */
void mux_inbox_wake (MuxDaemonInbox *inbox);

/* For the core's thread alone.  What is taken is the taker's; NULL: empty. */
MuxWorkerReply *mux_inbox_take_worker_reply (MuxDaemonInbox *inbox);
MuxTableReply *mux_inbox_take_table_reply (MuxDaemonInbox *inbox);
MuxInstanceList *mux_inbox_take_instances (MuxDaemonInbox *inbox);
MuxPeerMsg *mux_inbox_take_peer_msg (MuxDaemonInbox *inbox);
MuxCoreRequest *mux_inbox_take_request (MuxDaemonInbox *inbox);
/** mux_inbox_take_gone() - call of a caller that hung up; 0: empty */
uint64_t mux_inbox_take_disconnect (MuxDaemonInbox *inbox);
void mux_peer_msg_free (MuxPeerMsg *msg);
void mux_core_request_free (MuxCoreRequest *ask);
/** mux_inbox_mark() - to be called before the rings are looked into */
void mux_inbox_prepare_wait (MuxDaemonInbox *inbox);
/** mux_inbox_sleep() - until something came since the mark, at most
 * @timeout_ms */
void mux_inbox_wait (MuxDaemonInbox *inbox, int32_t timeout_ms);

#endif
