#include "member.h"

#include "config.h"
#include "jobs.h"
#include "owner.h"
#include "task.h"
#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Smallest factor by which heartbeats to other data centres are less frequent,
 * and by which the limits on their silence are longer. The factor grows with
 * the number of members there, so that a daemon sends a bounded number of
 * heartbeats a second in a cell of any size. */
#define REMOTE_FACTOR_MIN 5
/* Delay of a heartbeat that announces a change of room. */
#define ANNOUNCE_DELAY_MS 20
/* How long dead members remain visible to operators. */
#define DEAD_RETENTION_MS 600000
/* Maximum addresses in one message. */
#define ADDRESSES_MAX 64
/* Maximum members, a limit against floods of forged names. */
#define MEMBERS_MAX 256

/* Both ends of a link compute the factor from their own member lists, which
 * differ while the cell grows or shrinks. A small difference does no harm: a
 * member counts as suspect after three missing heartbeats and as dead after
 * five. */
static int64_t
remote_factor (const MuxCore *core)
{
  uint32_t remote = 0;

  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    remote += !m->local && m->state != MEMBER_DEAD;
  return remote > REMOTE_FACTOR_MIN ? remote : REMOTE_FACTOR_MIN;
}

Member *
member_find (MuxCore *core, const char *name)
{
  Member *member;

  HASH_FIND_STR (core->members, name, member);
  return member;
}

uint32_t
members_live_count (const MuxCore *core)
{
  uint32_t alive = 0;

  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    alive += m->state != MEMBER_DEAD;
  return alive;
}

bool
member_usable (const Member *member)
{
  return member->state == MEMBER_LIVE && !member->stopping;
}

static void
fill_sender (MuxCore *core, MuxPeerMsg *msg)
{
  mux_name_copy (msg->from, core->name);
  msg->from_incarnation = core->opt.incarnation;
}

bool
member_send (MuxCore *core, const Member *member, MuxPeerMsg *msg)
{
  fill_sender (core, msg);
  mux_name_copy (msg->to, member->name);
  if (core->sink->peer_send (core->sink, member->addr, msg))
    return true;
  mux_count_retry (core->counters, MUX_REASON_RING_FULL);
  return false;
}

void
members_send_all (MuxCore *core, MuxPeerMsg *msg)
{
  Member *member, *next;

  HASH_ITER (hh, core->members, member, next)
  if (member->state != MEMBER_DEAD)
    member_send (core, member, msg);
}

static void
fill_heartbeat (MuxCore *core, MuxPeerMsg *msg)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);

  *msg = (MuxPeerMsg){ .verb = MUX_PEER_HEARTBEAT };
  fill_sender (core, msg);
  mux_name_copy (msg->from_dc, core->data_centre);
  snprintf (msg->from_addr, sizeof msg->from_addr, "%s", core->peer_addr);
  msg->revision = config_revision (core);
  msg->stopping = core->stopping;
  msg->free = stats.available;
  msg->total = stats.total;
  msg->largest = workers_largest (core);
  msg->queued = stats.queued;
  msg->oldest_ms = stats.oldest_wait_ms;
}

static bool
addr_known (const MuxCore *core, const char *addr)
{
  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    if (strcmp (m->addr, addr) == 0 && m->state != MEMBER_DEAD)
      return true;
  return false;
}

static void
contact (MuxCore *core, const char *addr)
{
  MuxPeerMsg msg;

  if (strcmp (addr, core->peer_addr) == 0 || addr_known (core, addr))
    return;
  fill_heartbeat (core, &msg);
  core->sink->peer_send (core->sink, addr, &msg);
}

static void
send_heartbeats (MuxCore *core, bool include_remote)
{
  MuxPeerMsg msg;
  Member *member, *next;

  fill_heartbeat (core, &msg);
  HASH_ITER (hh, core->members, member, next)
  {
    /* Dead members are contacted too, to detect the end of a network
     * partition. */
    if (member->local ? member->state != MEMBER_DEAD || include_remote
                      : include_remote)
      member_send (core, member, &msg);
  }
  if (!include_remote)
    return;
  for (uint32_t i = 0; i < core->opt.seed_count; i++)
    contact (core, core->opt.seeds[i]);
}

/* Sends the addresses of the live members to a new one, which needs to know
 * one daemon only: it contacts the others and they reply. */
static void
send_addresses (MuxCore *core, const Member *to)
{
  char text[ADDRESSES_MAX * MUX_ADDR_LEN];
  MuxPeerMsg msg = { .verb = MUX_PEER_MEMBERS };
  size_t len = 0;

  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    if (m != to && m->state == MEMBER_LIVE && len + MUX_ADDR_LEN < sizeof text)
      len += (size_t) snprintf (text + len, sizeof text - len, "%s ", m->addr);
  if (len == 0)
    return;
  msg.body = mux_blob_new (text, len);
  if (msg.body != NULL)
    member_send (core, to, &msg);
  mux_blob_unref (msg.body);
}

void
members_addresses_received (MuxCore *core, const MuxPeerMsg *msg)
{
  char text[ADDRESSES_MAX * MUX_ADDR_LEN];
  char *rest = text;
  const char *addr;

  if (msg->body == NULL || msg->body->len >= sizeof text)
    return;
  memcpy (text, msg->body->bytes, msg->body->len);
  text[msg->body->len] = 0;
  while ((addr = strsep (&rest, " ")) != NULL)
    if (addr[0] != 0 && strlen (addr) < MUX_ADDR_LEN)
      contact (core, addr);
}

bool
members_could_hold (MuxCore *core, MuxSize size)
{
  bool known = false;

  if (workers_held (core) > 0)
    {
      known = true;
      if (mux_size_fits (size, workers_largest (core)))
        return true;
    }
  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    {
      if (m->state == MEMBER_DEAD || m->largest.slots == 0)
        continue;
      known = true;
      if (mux_size_fits (size, m->largest))
        return true;
    }
  return !known;
}

static void
member_changed (MuxCore *core, Member *member, MemberState state)
{
  static const char *const event[]
      = { "member_live", "member_suspect", "member_dead" };

  member->state = state;
  core_log (core, state == MEMBER_DEAD ? MUX_LOG_WARNING : MUX_LOG_NOTICE,
            event[state], "member=%s data_centre=%s incarnation=%llu",
            member->name, member->data_centre,
            (unsigned long long) member->incarnation);
  if (state == MEMBER_SUSPECT)
    return;
  if (state == MEMBER_DEAD)
    {
      tasks_owner_lost (core, member->name);
      owner_home_lost (core, member->name, member->incarnation);
      jobs_member_dead (core, member->name);
    }
  workers_members_changed (core);
}

static Member *
member_new (MuxCore *core, const MuxPeerMsg *msg)
{
  Member *member;

  if (HASH_COUNT (core->members) >= MEMBERS_MAX)
    return NULL;
  member = calloc (1, sizeof *member);
  if (member == NULL)
    return NULL;
  mux_name_copy (member->name, msg->from);
  member->state = MEMBER_DEAD;
  HASH_ADD_STR (core->members, name, member);
  return member;
}

void
members_heartbeat (MuxCore *core, const MuxPeerMsg *msg)
{
  Member *member = member_find (core, msg->from);
  bool restarted;

  if (strcmp (msg->from, core->name) == 0)
    return;
  if (member == NULL)
    member = member_new (core, msg);
  if (member == NULL)
    return;
  /* Ignore a late message of a previous incarnation. */
  if (msg->from_incarnation < member->incarnation)
    return;
  restarted
      = msg->from_incarnation > member->incarnation && member->incarnation != 0;
  if (restarted && member->state != MEMBER_DEAD)
    tasks_owner_lost (core, member->name);
  if (member->incarnation == 0)
    jobs_member_new (core);
  if (restarted)
    {
      owner_home_lost (core, member->name, member->incarnation);
      jobs_member_dead (core, member->name);
    }
  member->incarnation = msg->from_incarnation;
  mux_name_copy (member->data_centre, msg->from_dc);
  snprintf (member->addr, sizeof member->addr, "%s", msg->from_addr);
  member->local = strcmp (msg->from_dc, core->data_centre) == 0;
  member->last_contact_ms = core->now_ms;
  member->free = msg->free;
  member->total = msg->total;
  member->largest = msg->largest;
  member->queued = msg->queued;
  member->oldest_wait_ms = msg->oldest_ms;
  if (member->state != MEMBER_LIVE || member->stopping != msg->stopping)
    {
      bool was_dead = member->state == MEMBER_DEAD;

      member->stopping = msg->stopping;
      member_changed (core, member, MEMBER_LIVE);
      /* Reply at once, so that a new member need not wait for the next
       * heartbeat. */
      if (was_dead)
        {
          MuxPeerMsg heartbeat;

          fill_heartbeat (core, &heartbeat);
          member_send (core, member, &heartbeat);
          send_addresses (core, member);
        }
    }
  member->revision = msg->revision;
  config_peer_revision (core, member, msg->revision);
}

void
members_stopping (MuxCore *core, const MuxPeerMsg *msg)
{
  Member *member = member_find (core, msg->from);

  if (member == NULL || msg->from_incarnation < member->incarnation
      || member->stopping)
    return;
  member->stopping = true;
  core_log (core, MUX_LOG_NOTICE, "member_stopping", "member=%s", member->name);
  jobs_member_dead (core, member->name);
  workers_members_changed (core);
}

void
members_update_list (MuxCore *core, const MuxInstanceList *list)
{
  for (uint32_t i = 0; i < list->count; i++)
    {
      const MuxInstance *instance = &list->item[i];

      /* The list may be outdated, so an entry only causes a first contact;
       * liveness is judged by the daemon's own heartbeats. */
      if (instance->role == MUX_ROLE_ENTRY
          && instance->state != MUX_INSTANCE_GONE
          && member_find (core, instance->name) == NULL
          && strcmp (instance->name, core->name) != 0)
        contact (core, instance->addr);
    }
}

static void
check_silence (MuxCore *core, Member *member, int64_t limit_factor)
{
  int64_t silent_ms = core->now_ms - member->last_contact_ms;
  int64_t factor = member->local ? 1 : limit_factor;

  if (member->state == MEMBER_LIVE
      && silent_ms >= core->opt.suspect_ms * factor)
    member_changed (core, member, MEMBER_SUSPECT);
  if (member->state == MEMBER_SUSPECT
      && silent_ms >= core->opt.dead_ms * factor)
    member_changed (core, member, MEMBER_DEAD);
}

/* Quotas apply to the cell. Each owner grants a share of them, in proportion
 * to its share of the CPUs that all live owners hold. */
static void
update_share (MuxCore *core)
{
  uint64_t mine = mux_sched_stats (core->sched, core->now_ms).total.cpu_milli;
  uint64_t all = mine;

  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    if (m->state != MEMBER_DEAD)
      all += m->total.cpu_milli;
  if (all > 0)
    mux_sched_share_set (core->sched, (uint32_t) (mine * 1000000 / all));
}

/*
 * After this process was suspended or starved of CPU, all peers seem to have
 * been silent for as long, and it would declare them dead and claim all their
 * workers. A gap without steps says nothing about peers, so it is subtracted
 * from the silence of each.
 */
void
members_after_pause (MuxCore *core, int64_t gap_ms)
{
  Member *member, *next;

  if (gap_ms < (int64_t) core->opt.suspect_ms)
    return;
  core_log (core, MUX_LOG_WARNING, "was_paused", "gap_ms=%lld",
            (long long) gap_ms);
  HASH_ITER (hh, core->members, member, next)
  if (member->state != MEMBER_DEAD)
    member->last_contact_ms += gap_ms;
}

void
members_tick (MuxCore *core)
{
  bool include_remote = core->now_ms >= core->next_remote_heartbeat_ms;
  int64_t factor;
  Member *member, *next;

  if (core->now_ms < core->next_heartbeat_ms)
    return;
  factor = remote_factor (core);
  send_heartbeats (core, include_remote);
  update_share (core);
  core->next_heartbeat_ms = core->now_ms + core->opt.heartbeat_ms;
  if (include_remote)
    core->next_remote_heartbeat_ms
        = core->now_ms + (int64_t) core->opt.heartbeat_ms * factor;
  HASH_ITER (hh, core->members, member, next)
  {
    check_silence (core, member, factor);
    if (member->state == MEMBER_DEAD
        && core->now_ms - member->last_contact_ms > DEAD_RETENTION_MS)
      {
        HASH_DEL (core->members, member);
        free (member);
      }
  }
}

/* Delayed, so that one heartbeat announces several claims that are won at the
 * same time. */
void
members_announce_room (MuxCore *core)
{
  int64_t at_ms = core->now_ms + ANNOUNCE_DELAY_MS;

  if (at_ms < core->next_heartbeat_ms)
    core->next_heartbeat_ms = at_ms;
  core->next_remote_heartbeat_ms = core->next_heartbeat_ms;
}

int64_t
members_wake_ms (const MuxCore *core)
{
  return core->next_heartbeat_ms;
}

void
members_announce_stop (MuxCore *core)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_BYE };

  members_send_all (core, &msg);
}

uint64_t
members_rank (const char *name, const char *subject)
{
  return mux_hash_name (subject, mux_hash_name (name, 0));
}

bool
members_ranked_first (MuxCore *core, const char *subject, bool local)
{
  uint64_t mine = members_rank (core->name, subject);

  if (core->stopping)
    return false;
  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    {
      uint64_t rank;

      if (m->state == MEMBER_DEAD || m->stopping || (local && !m->local))
        continue;
      rank = members_rank (m->name, subject);
      if (rank > mine || (rank == mine && strcmp (m->name, core->name) > 0))
        return false;
    }
  return true;
}

void
members_free (MuxCore *core)
{
  Member *member, *next;

  HASH_ITER (hh, core->members, member, next)
  {
    HASH_DEL (core->members, member);
    free (member);
  }
}
