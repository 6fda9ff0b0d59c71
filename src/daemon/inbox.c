#include "inbox.h"

#include "base/ring.h"

#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct MuxDaemonInbox
{
  MuxInbox port; /* first member: adapters are given its address */
  MuxCounters *counters;
  MuxRing *requests;
  MuxRing *disconnects;
  MuxRing *peers;
  MuxRing *worker_replies;
  MuxRing *table_replies;
  _Atomic (MuxInstanceList *) instances;
  int wake_fd;
  atomic_uint_fast64_t pushed;
  uint64_t pushed_seen;
  atomic_bool waiting;
};

/*
 * The core thread sets @waiting and then reads @pushed; a sender increments
 * @pushed and then reads @waiting.  In any interleaving at least one of them
 * sees the other's write, so no wakeup is lost.  While the core thread is busy,
 * senders make no system call here.
 */
static void
notify (MuxDaemonInbox *inbox)
{
  atomic_fetch_add (&inbox->pushed, 1);
  if (atomic_exchange (&inbox->waiting, false))
    (void) eventfd_write (inbox->wake_fd, 1);
}

static bool
push (MuxDaemonInbox *inbox, MuxRing *ring, void *item)
{
  if (!mux_ring_push (ring, item))
    {
      mux_count_refused (inbox->counters, MUX_REASON_RING_FULL);
      return false;
    }
  notify (inbox);
  return true;
}

static bool
push_worker_reply (MuxInbox *port, MuxWorkerReply *reply)
{
  MuxDaemonInbox *inbox = (MuxDaemonInbox *) port;

  if (push (inbox, inbox->worker_replies, reply))
    return true;
  mux_worker_reply_free (reply);
  return false;
}

static bool
push_table_reply (MuxInbox *port, MuxTableReply *reply)
{
  MuxDaemonInbox *inbox = (MuxDaemonInbox *) port;

  if (push (inbox, inbox->table_replies, reply))
    return true;
  mux_table_reply_free (reply);
  return false;
}

static bool
push_peer_msg (MuxInbox *port, const MuxPeerMsg *msg)
{
  MuxDaemonInbox *inbox = (MuxDaemonInbox *) port;
  MuxPeerMsg *copy = malloc (sizeof *copy);

  if (copy == NULL)
    return false;
  *copy = *msg;
  mux_blob_ref (copy->body);
  if (push (inbox, inbox->peers, copy))
    return true;
  mux_peer_msg_free (copy);
  return false;
}

/* Appends changes to a list that the core has not taken yet. */
static MuxInstanceList *
merge_instance_changes (const MuxInstanceList *pending,
                        const MuxInstanceList *list)
{
  uint32_t count = pending->count + list->count;
  MuxInstanceList *merged
      = malloc (sizeof *merged + count * sizeof merged->item[0]);

  if (merged == NULL)
    return NULL;
  merged->changes_only = pending->changes_only;
  merged->count = count;
  memcpy (merged->item, pending->item,
          pending->count * sizeof pending->item[0]);
  memcpy (merged->item + pending->count, list->item,
          list->count * sizeof list->item[0]);
  return merged;
}

/* Return: false when changes are lost, so that the complete list must be read
 * again. */
static bool
push_instances (MuxInbox *port, MuxInstanceList *list)
{
  MuxDaemonInbox *inbox = (MuxDaemonInbox *) port;
  MuxInstanceList *pending = atomic_exchange (&inbox->instances, NULL);

  if (pending != NULL && list->changes_only)
    {
      MuxInstanceList *merged = merge_instance_changes (pending, list);

      free (list);
      list = merged;
    }
  free (pending);
  if (list == NULL)
    return false;
  free (atomic_exchange (&inbox->instances, list));
  notify (inbox);
  return true;
}

MuxDaemonInbox *
mux_inbox_new (const MuxInboxOptions *options)
{
  MuxDaemonInbox *inbox = calloc (1, sizeof *inbox);

  if (inbox == NULL)
    return NULL;
  inbox->port.worker_reply = push_worker_reply;
  inbox->port.table_reply = push_table_reply;
  inbox->port.peer_msg = push_peer_msg;
  inbox->port.instances = push_instances;
  inbox->counters = options->counters;
  inbox->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  inbox->requests = mux_ring_new (options->requests);
  inbox->disconnects = mux_ring_new (options->requests);
  inbox->peers = mux_ring_new (options->peers);
  inbox->worker_replies = mux_ring_new (options->worker_replies);
  inbox->table_replies = mux_ring_new (options->table_replies);
  if (inbox->wake_fd >= 0 && inbox->requests != NULL
      && inbox->disconnects != NULL && inbox->peers != NULL
      && inbox->worker_replies != NULL && inbox->table_replies != NULL)
    return inbox;
  mux_inbox_free (inbox);
  return NULL;
}

static void
free_worker_replies (MuxDaemonInbox *inbox)
{
  MuxWorkerReply *reply;

  while (inbox->worker_replies != NULL
         && (reply = mux_inbox_take_worker_reply (inbox)) != NULL)
    mux_worker_reply_free (reply);
  mux_ring_free (inbox->worker_replies);
}

static void
free_table_replies (MuxDaemonInbox *inbox)
{
  MuxTableReply *reply;

  while (inbox->table_replies != NULL
         && (reply = mux_inbox_take_table_reply (inbox)) != NULL)
    mux_table_reply_free (reply);
  mux_ring_free (inbox->table_replies);
}

static void
free_peer_msgs (MuxDaemonInbox *inbox)
{
  MuxPeerMsg *msg;

  while (inbox->peers != NULL
         && (msg = mux_inbox_take_peer_msg (inbox)) != NULL)
    mux_peer_msg_free (msg);
  mux_ring_free (inbox->peers);
}

static void
free_requests (MuxDaemonInbox *inbox)
{
  MuxCoreRequest *request;

  while (inbox->requests != NULL
         && (request = mux_inbox_take_request (inbox)) != NULL)
    mux_core_request_free (request);
  while (inbox->disconnects != NULL && mux_inbox_take_disconnect (inbox) != 0)
    continue;
  mux_ring_free (inbox->requests);
  mux_ring_free (inbox->disconnects);
}

void
mux_inbox_free (MuxDaemonInbox *inbox)
{
  if (inbox == NULL)
    return;
  free_worker_replies (inbox);
  free_table_replies (inbox);
  free_peer_msgs (inbox);
  free_requests (inbox);
  free (atomic_load (&inbox->instances));
  if (inbox->wake_fd >= 0)
    close (inbox->wake_fd);
  free (inbox);
}

MuxInbox *
mux_inbox_port (MuxDaemonInbox *inbox)
{
  return &inbox->port;
}

bool
mux_inbox_push_request (MuxDaemonInbox *inbox, MuxCoreRequest *request)
{
  return push (inbox, inbox->requests, request);
}

void
mux_inbox_push_disconnect (MuxDaemonInbox *inbox, uint64_t call)
{
  uint64_t *item = malloc (sizeof *item);

  if (item == NULL)
    return;
  *item = call;
  if (!push (inbox, inbox->disconnects, item))
    free (item);
}

void
mux_inbox_wake (MuxDaemonInbox *inbox)
{
  notify (inbox);
}

MuxWorkerReply *
mux_inbox_take_worker_reply (MuxDaemonInbox *inbox)
{
  return mux_ring_pop (inbox->worker_replies);
}

MuxTableReply *
mux_inbox_take_table_reply (MuxDaemonInbox *inbox)
{
  return mux_ring_pop (inbox->table_replies);
}

MuxInstanceList *
mux_inbox_take_instances (MuxDaemonInbox *inbox)
{
  return atomic_exchange (&inbox->instances, NULL);
}

MuxPeerMsg *
mux_inbox_take_peer_msg (MuxDaemonInbox *inbox)
{
  return mux_ring_pop (inbox->peers);
}

MuxCoreRequest *
mux_inbox_take_request (MuxDaemonInbox *inbox)
{
  return mux_ring_pop (inbox->requests);
}

uint64_t
mux_inbox_take_disconnect (MuxDaemonInbox *inbox)
{
  uint64_t *item = mux_ring_pop (inbox->disconnects);
  uint64_t call;

  if (item == NULL)
    return 0;
  call = *item;
  free (item);
  return call;
}

void
mux_peer_msg_free (MuxPeerMsg *msg)
{
  if (msg == NULL)
    return;
  mux_blob_unref (msg->body);
  free (msg);
}

void
mux_core_request_free (MuxCoreRequest *request)
{
  if (request == NULL)
    return;
  mux_blob_unref (request->body);
  free (request);
}

void
mux_inbox_prepare_wait (MuxDaemonInbox *inbox)
{
  inbox->pushed_seen = atomic_load (&inbox->pushed);
}

void
mux_inbox_wait (MuxDaemonInbox *inbox, int32_t timeout_ms)
{
  struct pollfd fd = { inbox->wake_fd, POLLIN, 0 };
  eventfd_t wakeups;

  atomic_store (&inbox->waiting, true);
  if (atomic_load (&inbox->pushed) == inbox->pushed_seen)
    (void) poll (&fd, 1, timeout_ms);
  atomic_store (&inbox->waiting, false);
  (void) eventfd_read (inbox->wake_fd, &wakeups);
}
