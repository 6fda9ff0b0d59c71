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
  MuxInbox port; /* first: adapters see this alone */
  MuxCounters *counters;
  MuxRing *asks;
  MuxRing *gone;
  MuxRing *peers;
  MuxRing *worker_replies;
  MuxRing *table_replies;
  _Atomic (MuxInstanceList *) instances;
  int bell;
  atomic_uint_fast64_t pushed;
  uint64_t marked;
  atomic_bool asleep;
};

/*
 * The sleeper sets @asleep and then looks at @pushed; a sender adds to
 * @pushed and then looks at @asleep.  Whatever the order, one of them sees
 * the other, so no entry waits behind a sleep; and a busy core costs its
 * senders no system call here.
 */
static void
notify (MuxDaemonInbox *inbox)
{
  atomic_fetch_add (&inbox->pushed, 1);
  if (atomic_exchange (&inbox->asleep, false))
    (void) eventfd_write (inbox->bell, 1);
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

/* Changes after a list that was not taken yet: both, as one. */
static MuxInstanceList *
joined_instances (const MuxInstanceList *older, const MuxInstanceList *list)
{
  uint32_t count = older->count + list->count;
  MuxInstanceList *both = malloc (sizeof *both + count * sizeof both->item[0]);

  if (both == NULL)
    return NULL;
  both->changes_only = older->changes_only;
  both->count = count;
  memcpy (both->item, older->item, older->count * sizeof older->item[0]);
  memcpy (both->item + older->count, list->item,
          list->count * sizeof list->item[0]);
  return both;
}

/* False: changes are lost, and the whole list has to be read. */
static bool
put_instances (MuxInbox *port, MuxInstanceList *list)
{
  MuxDaemonInbox *inbox = (MuxDaemonInbox *) port;
  MuxInstanceList *older = atomic_exchange (&inbox->instances, NULL);

  if (older != NULL && list->changes_only)
    {
      MuxInstanceList *both = joined_instances (older, list);

      free (list);
      list = both;
    }
  free (older);
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
  inbox->port.instances = put_instances;
  inbox->counters = options->counters;
  inbox->bell = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  inbox->asks = mux_ring_new (options->requests);
  inbox->gone = mux_ring_new (options->requests);
  inbox->peers = mux_ring_new (options->peers);
  inbox->worker_replies = mux_ring_new (options->worker_replies);
  inbox->table_replies = mux_ring_new (options->table_replies);
  if (inbox->bell >= 0 && inbox->asks != NULL && inbox->gone != NULL
      && inbox->peers != NULL && inbox->worker_replies != NULL
      && inbox->table_replies != NULL)
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
free_asks (MuxDaemonInbox *inbox)
{
  MuxCoreRequest *ask;

  while (inbox->asks != NULL && (ask = mux_inbox_take_request (inbox)) != NULL)
    mux_core_request_free (ask);
  while (inbox->gone != NULL && mux_inbox_take_disconnect (inbox) != 0)
    continue;
  mux_ring_free (inbox->asks);
  mux_ring_free (inbox->gone);
}

void
mux_inbox_free (MuxDaemonInbox *inbox)
{
  if (inbox == NULL)
    return;
  free_worker_replies (inbox);
  free_table_replies (inbox);
  free_peer_msgs (inbox);
  free_asks (inbox);
  free (atomic_load (&inbox->instances));
  if (inbox->bell >= 0)
    close (inbox->bell);
  free (inbox);
}

MuxInbox *
mux_inbox_port (MuxDaemonInbox *inbox)
{
  return &inbox->port;
}

bool
mux_inbox_push_request (MuxDaemonInbox *inbox, MuxCoreRequest *ask)
{
  return push (inbox, inbox->asks, ask);
}

void
mux_inbox_push_disconnect (MuxDaemonInbox *inbox, uint64_t call)
{
  uint64_t *item = malloc (sizeof *item);

  if (item == NULL)
    return;
  *item = call;
  if (!push (inbox, inbox->gone, item))
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
  return mux_ring_pop (inbox->asks);
}

uint64_t
mux_inbox_take_disconnect (MuxDaemonInbox *inbox)
{
  uint64_t *item = mux_ring_pop (inbox->gone);
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
mux_core_request_free (MuxCoreRequest *ask)
{
  if (ask == NULL)
    return;
  mux_blob_unref (ask->body);
  free (ask);
}

void
mux_inbox_prepare_wait (MuxDaemonInbox *inbox)
{
  inbox->marked = atomic_load (&inbox->pushed);
}

void
mux_inbox_wait (MuxDaemonInbox *inbox, int32_t timeout_ms)
{
  struct pollfd fd = { inbox->bell, POLLIN, 0 };
  eventfd_t rings;

  atomic_store (&inbox->asleep, true);
  if (atomic_load (&inbox->pushed) == inbox->marked)
    (void) poll (&fd, 1, timeout_ms);
  atomic_store (&inbox->asleep, false);
  (void) eventfd_read (inbox->bell, &rings);
}
