#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include "core_private.h"

/* Membership: daemons exchange heartbeats, which carry their load, and judge
 * each other's liveness by silence. */

/**
 * enum MemberState - liveness of a peer, judged by its silence
 */
typedef enum
{
  MEMBER_LIVE,
  MEMBER_SUSPECT, /* silent for suspect_ms: gets no new requests */
  MEMBER_DEAD,    /* silent for dead_ms: its workers are claimed */
} MemberState;

/* Another daemon of the cell. */
struct Member
{
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  MemberState state;
  bool local; /* same data centre */
  bool stopping;
  int64_t last_contact_ms;
  uint64_t revision;
  MuxSize free; /* as last received, less what was requested since */
  MuxSize total;
  MuxSize largest;
  uint32_t queued;
  uint32_t oldest_wait_ms;
  UT_hash_handle hh;
};

/** members_heartbeat() - update a member, which may be new or restarted */
void members_heartbeat (MuxCore *core, const MuxPeerMsg *msg);
/** members_addresses_received() - contact daemons that a peer lists */
void members_addresses_received (MuxCore *core, const MuxPeerMsg *msg);
/** members_could_hold() - true if some owner has a worker that could hold
 * @size when empty, or if no worker's size is known yet */
bool members_could_hold (MuxCore *core, MuxSize size);
/** members_stopping() - a peer has announced that it stops */
void members_stopping (MuxCore *core, const MuxPeerMsg *msg);
/** members_update_list() - contact daemons on the platform's instance list */
void members_update_list (MuxCore *core, const MuxInstanceList *list);
/** members_after_pause() - discount a pause of this process, of @gap_ms, from
 * the silence of all members */
void members_after_pause (MuxCore *core, int64_t gap_ms);
/** members_tick() - send heartbeats that are due and check for silence */
void members_tick (MuxCore *core);
/** members_announce_room() - send heartbeats soon, to other data centres too,
 * as the room here has changed */
void members_announce_room (MuxCore *core);
int64_t members_wake_ms (const MuxCore *core);
void members_free (MuxCore *core);
/** members_announce_stop() - notify all members that this daemon stops */
void members_announce_stop (MuxCore *core);

Member *member_find (MuxCore *core, const char *name);
/** members_live_count() - return the number of peers that are not dead */
uint32_t members_live_count (const MuxCore *core);
/** member_usable() - true if it may be sent grant requests */
bool member_usable (const Member *member);
/** member_send() - fill in sender and receiver and send; false: the ring is
 * full */
bool member_send (MuxCore *core, const Member *member, MuxPeerMsg *msg);
/** members_send_all() - send to each member that is not dead */
void members_send_all (MuxCore *core, MuxPeerMsg *msg);
/** members_rank() - rendezvous hash of @name for @subject; the member with
 * the highest one is responsible for the subject */
uint64_t members_rank (const char *name, const char *subject);
/** members_ranked_first() - true if this daemon has the highest rank for
 * @subject among members that are neither dead nor stopping
 * @local: among those of this data centre only */
bool members_ranked_first (MuxCore *core, const char *subject, bool local);

#endif
