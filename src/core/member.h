#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include "core_private.h"

/**
 * enum MemberState - a peer as seen from here
 */
typedef enum
{
  MEMBER_LIVE,
  MEMBER_SUSPECT, /* silent for a while: no new asks */
  MEMBER_DEAD,    /* silent for long: its workers are claimed */
} MemberState;

/* Another daemon. */
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
  MuxSize free; /* as last told, less what was asked since */
  MuxSize total;
  MuxSize largest;
  uint32_t queued;
  uint32_t oldest_wait_ms;
  UT_hash_handle hh;
};

void members_heartbeat (MuxCore *core, const MuxPeerMsg *msg);
/** members_told() - a peer names daemons that it knows */
void members_addresses_received (MuxCore *core, const MuxPeerMsg *msg);
/** members_could_hold() - some owner has a worker that could hold @size, or
 * it is not known yet */
bool members_could_hold (MuxCore *core, MuxSize size);
void members_stopping (MuxCore *core, const MuxPeerMsg *msg);
/** members_listed() - greet daemons on the platform's list */
void members_update_list (MuxCore *core, const MuxInstanceList *list);
/** members_after_pause() - this process took no step for @gap_ms */
void members_after_pause (MuxCore *core, int64_t gap_ms);
void members_tick (MuxCore *core);
/** members_news() - tell all soon, also far ones, what room is here now */
void members_announce_room (MuxCore *core);
int64_t members_wake_ms (const MuxCore *core);
void members_free (MuxCore *core);
/** members_farewell() - tell all that this daemon stops */
void members_announce_stop (MuxCore *core);

Member *member_find (MuxCore *core, const char *name);
/** members_alive() - peers that are not dead */
uint32_t members_live_count (const MuxCore *core);
/** member_usable() - may be asked for grants */
bool member_usable (const Member *member);
/** member_send() - fill in the sender and send; false: its ring is full */
bool member_send (MuxCore *core, const Member *member, MuxPeerMsg *msg);
/** members_send_all() - the same to each daemon that is not dead */
void members_send_all (MuxCore *core, MuxPeerMsg *msg);
/** members_rank() - score of @name for @subject: highest is first choice */
uint64_t members_rank (const char *name, const char *subject);
/** members_first() - whether this daemon is first choice for @subject among
 * living ones, @near: of this data centre only */
bool members_ranked_first (MuxCore *core, const char *subject, bool near);

#endif
