#include "support/peer_inbox.h"

#include "standin/time.h"

#include <stdlib.h>
#include <string.h>

static bool
take (MuxInbox *base, const MuxPeerMsg *msg)
{
  PeerInbox *inbox = (PeerInbox *) base;
  bool room;

  pthread_mutex_lock (&inbox->mutex);
  inbox->at_gate++;
  pthread_cond_broadcast (&inbox->changed);
  while (inbox->gate_closed)
    pthread_cond_wait (&inbox->changed, &inbox->mutex);
  inbox->at_gate--;
  room = inbox->count < PEER_INBOX_MAX;
  if (room)
    {
      inbox->msgs[inbox->count] = *msg;
      inbox->msgs[inbox->count++].body = NULL;
    }
  pthread_cond_broadcast (&inbox->changed);
  pthread_mutex_unlock (&inbox->mutex);
  return room;
}

PeerInbox *
peer_inbox_new (void)
{
  PeerInbox *inbox = calloc (1, sizeof *inbox);

  if (inbox == NULL)
    abort ();
  inbox->inbox.peer_msg = take;
  pthread_mutex_init (&inbox->mutex, NULL);
  standin_cond_init (&inbox->changed);
  return inbox;
}

void
peer_inbox_free (PeerInbox *inbox)
{
  pthread_cond_destroy (&inbox->changed);
  pthread_mutex_destroy (&inbox->mutex);
  free (inbox);
}

static uint32_t
count_from (const PeerInbox *inbox, const char *from, uint64_t revision)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < inbox->count; i++)
    n += strcmp (inbox->msgs[i].from, from) == 0
         && inbox->msgs[i].revision >= revision;
  return n;
}

bool
peer_inbox_wait (PeerInbox *inbox,
                 const char *from,
                 uint64_t revision,
                 uint32_t wait_ms)
{
  struct timespec end = standin_deadline_in (wait_ms);
  bool there;
  int rc = 0;

  pthread_mutex_lock (&inbox->mutex);
  while (!(there = count_from (inbox, from, revision) > 0) && rc == 0)
    rc = pthread_cond_timedwait (&inbox->changed, &inbox->mutex, &end);
  pthread_mutex_unlock (&inbox->mutex);
  return there;
}

uint32_t
peer_inbox_seen (PeerInbox *inbox, const char *from)
{
  uint32_t n;

  pthread_mutex_lock (&inbox->mutex);
  n = count_from (inbox, from, 0);
  pthread_mutex_unlock (&inbox->mutex);
  return n;
}

static void
set_gate (PeerInbox *inbox, bool closed)
{
  pthread_mutex_lock (&inbox->mutex);
  inbox->gate_closed = closed;
  pthread_cond_broadcast (&inbox->changed);
  pthread_mutex_unlock (&inbox->mutex);
}

void
peer_inbox_close_gate (PeerInbox *inbox)
{
  set_gate (inbox, true);
}

void
peer_inbox_open_gate (PeerInbox *inbox)
{
  set_gate (inbox, false);
}

bool
peer_inbox_wait_at_gate (PeerInbox *inbox)
{
  struct timespec end = standin_deadline_in (PEER_WAIT_MS);
  bool there;
  int rc = 0;

  pthread_mutex_lock (&inbox->mutex);
  while (!(there = inbox->at_gate > 0) && rc == 0)
    rc = pthread_cond_timedwait (&inbox->changed, &inbox->mutex, &end);
  pthread_mutex_unlock (&inbox->mutex);
  return there;
}
