#include "support/peer_sample.h"

#include "port/worker.h"

#include <stdlib.h>
#include <string.h>

static const char members[] = "10.0.0.1:7000 10.0.0.2:7000";
static const char rows[] = "[{\"class\":\"basket-booking\"}]";

static void
fill_heartbeat (MuxPeerMsg *msg)
{
  mux_name_copy (msg->from_dc, "nizwa-hall");
  strcpy (msg->from_addr, "10.20.30.41:7411");
  msg->revision = 1234;
  msg->stopping = true;
  msg->free = (MuxSize){ 812500, 3276800, 16, 211 };
  msg->total = (MuxSize){ 1600000, 6553600, 32, 400 };
  msg->queued = 1800;
  msg->oldest_ms = 950;
  msg->largest = (MuxSize){ 64000, 131072, 4, 8 };
}

static void
fill_grant_ask (MuxPeerMsg *msg)
{
  msg->group = (MuxId){ 0x1122334455667788, 0x99aabbccddeeff00 };
  msg->group_count = 12;
  mux_name_copy (msg->class_name, "basket-booking");
  msg->start_within_ms = 250;
  msg->give_up_ms = 5000;
}

static void
fill_grant (MuxPeerMsg *msg)
{
  mux_name_copy (msg->worker, "nizwa-w017");
  strcpy (msg->worker_addr, "[2001:db8::17]:9000");
  msg->epoch = 42;
  msg->incarnation = 1764700000123;
  msg->not_after_ms = -1764700001123;
  msg->size = (MuxSize){ 4000, 16384, 1, 1 };
}

static void
fill_end (MuxPeerMsg *msg)
{
  mux_name_copy (msg->worker, "nizwa-w017");
  msg->not_after_ms = -1764700001123;
  msg->state = MUX_TASK_DONE_GONE;
  msg->ran_ms = 180;
}

static void
fill_verb (MuxPeerMsg *msg)
{
  switch (msg->verb)
    {
    case MUX_PEER_HEARTBEAT:
      fill_heartbeat (msg);
      break;
    case MUX_PEER_GRANT_REQUEST:
      fill_grant_ask (msg);
      break;
    case MUX_PEER_GRANT:
      fill_grant (msg);
      break;
    case MUX_PEER_GRANT_REFUSED:
      msg->reason = MUX_REASON_NO_WORKERS;
      msg->retry_ms = 75;
      break;
    case MUX_PEER_GRANT_END:
    case MUX_PEER_TASK_ENDED:
      fill_end (msg);
      break;
    case MUX_PEER_HANDOVER:
      mux_name_copy (msg->worker, "nizwa-w017");
      msg->epoch = UINT64_MAX;
      break;
    case MUX_PEER_CONFIG_ROWS:
      msg->body = mux_blob_new (rows, sizeof rows - 1);
      msg->revision = 1235;
      break;
    case MUX_PEER_CONFIG_HINT:
    case MUX_PEER_CONFIG_REQUEST:
      msg->revision = 1235;
      break;
    case MUX_PEER_MEMBERS:
      msg->body = mux_blob_new (members, sizeof members - 1);
      break;
    case MUX_PEER_JOB_HINT:
      msg->task = (MuxId){ 0x0123456789abcdef, 0xfedcba9876543210 };
      break;
    case MUX_PEER_HELLO:
      msg->cpu_share_milli = 250;
      msg->link_kbps = 10000;
      msg->memory_mib = 400;
      msg->late_ms = 12;
      msg->loop_ms = 3;
      msg->epoch = 41;
      msg->call_id = 78;
      strcpy (msg->from_addr, "10.20.30.41:7411");
      msg->table_ok = true;
      msg->wall_ms = INT64_C (1700000000123);
      break;
    case MUX_PEER_HELLO_REPLY:
      msg->epoch = 42;
      msg->table_ok = true;
      msg->wall_ms = INT64_C (1700000000124);
      msg->late_ms = 250;
      msg->call_id = 78;
      msg->body = mux_blob_new (rows, sizeof rows - 1);
      break;
    case MUX_PEER_JOB_QUERY:
    case MUX_PEER_APPROVAL_QUERY:
    case MUX_PEER_SUBMIT_REQUEST:
    case MUX_PEER_PROXY_CALL:
      strcpy (msg->from_addr, "10.20.30.41:7411");
      msg->call_id = 77;
      msg->body = mux_blob_new (rows, sizeof rows - 1);
      break;
    case MUX_PEER_SUBMIT_REPLY:
      msg->call_id = 77;
      msg->outcome = 6;
      msg->retry_ms = 1250;
      break;
    case MUX_PEER_JOB_REPLY:
      msg->call_id = 77;
      msg->found = true;
      msg->job_state = 2;
      msg->queued = 12;
      break;
    case MUX_PEER_APPROVAL_REPLY:
    case MUX_PEER_PROXY_REPLY:
      msg->call_id = 77;
      msg->found = true;
      msg->body = mux_blob_new (rows, sizeof rows - 1);
      break;
    case MUX_PEER_GRANT_CANCEL:
    case MUX_PEER_BYE:
    case MUX_PEER_VERB_COUNT:
      break;
    }
}

static bool
speaks_of_task (MuxPeerVerb verb)
{
  return verb >= MUX_PEER_GRANT_REQUEST && verb <= MUX_PEER_TASK_ENDED;
}

void
peer_sample (MuxPeerVerb verb, MuxPeerMsg *msg)
{
  memset (msg, 0, sizeof *msg);
  msg->verb = verb;
  mux_name_copy (msg->from, "nizwa-entry-3");
  msg->from_incarnation = 1764700000000;
  mux_name_copy (msg->to, "bahla-entry-1");
  if (speaks_of_task (verb))
    msg->task = (MuxId){ 0x0123456789abcdef, 0xfedcba9876543210 };
  fill_verb (msg);
}
