#include "peer_fields.h"

static const MuxPeerField common_fields[] = {
  { MUX_FIELD_NAME, "from", offsetof (MuxPeerMsg, from) },
  { MUX_FIELD_U64, "from_incarnation",
    offsetof (MuxPeerMsg, from_incarnation) },
  { MUX_FIELD_NAME_OR_NONE, "to", offsetof (MuxPeerMsg, to) },
};

static const MuxPeerField heartbeat_fields[] = {
  { MUX_FIELD_NAME, "from_dc", offsetof (MuxPeerMsg, from_dc) },
  { MUX_FIELD_ADDR, "from_addr", offsetof (MuxPeerMsg, from_addr) },
  { MUX_FIELD_U64, "revision", offsetof (MuxPeerMsg, revision) },
  { MUX_FIELD_BOOL, "stopping", offsetof (MuxPeerMsg, stopping) },
  { MUX_FIELD_SIZE, "free", offsetof (MuxPeerMsg, free) },
  { MUX_FIELD_SIZE, "total", offsetof (MuxPeerMsg, total) },
  { MUX_FIELD_SIZE, "largest", offsetof (MuxPeerMsg, largest) },
  { MUX_FIELD_U32, "queued", offsetof (MuxPeerMsg, queued) },
  { MUX_FIELD_U32, "oldest_ms", offsetof (MuxPeerMsg, oldest_ms) },
};

static const MuxPeerField grant_request_fields[] = {
  { MUX_FIELD_ID, "task", offsetof (MuxPeerMsg, task) },
  { MUX_FIELD_ID_OR_NONE, "group", offsetof (MuxPeerMsg, group) },
  { MUX_FIELD_U32, "group_count", offsetof (MuxPeerMsg, group_count) },
  { MUX_FIELD_NAME, "class_name", offsetof (MuxPeerMsg, class_name) },
  { MUX_FIELD_U32, "start_within_ms", offsetof (MuxPeerMsg, start_within_ms) },
  { MUX_FIELD_U32, "give_up_ms", offsetof (MuxPeerMsg, give_up_ms) },
};

static const MuxPeerField grant_fields[] = {
  { MUX_FIELD_ID, "task", offsetof (MuxPeerMsg, task) },
  { MUX_FIELD_NAME, "worker", offsetof (MuxPeerMsg, worker) },
  { MUX_FIELD_ADDR, "worker_addr", offsetof (MuxPeerMsg, worker_addr) },
  { MUX_FIELD_U64, "epoch", offsetof (MuxPeerMsg, epoch) },
  { MUX_FIELD_U64, "incarnation", offsetof (MuxPeerMsg, incarnation) },
  { MUX_FIELD_I64, "not_after_ms", offsetof (MuxPeerMsg, not_after_ms) },
  { MUX_FIELD_SIZE, "size", offsetof (MuxPeerMsg, size) },
};

static const MuxPeerField refused_fields[] = {
  { MUX_FIELD_ID, "task", offsetof (MuxPeerMsg, task) },
  { MUX_FIELD_REASON, "reason", offsetof (MuxPeerMsg, reason) },
  { MUX_FIELD_U32, "retry_ms", offsetof (MuxPeerMsg, retry_ms) },
};

static const MuxPeerField task_fields[] = {
  { MUX_FIELD_ID, "task", offsetof (MuxPeerMsg, task) },
};

static const MuxPeerField ended_fields[] = {
  { MUX_FIELD_ID, "task", offsetof (MuxPeerMsg, task) },
  { MUX_FIELD_NAME_OR_NONE, "worker", offsetof (MuxPeerMsg, worker) },
  { MUX_FIELD_STATE, "state", offsetof (MuxPeerMsg, state) },
  { MUX_FIELD_I64, "not_after_ms", offsetof (MuxPeerMsg, not_after_ms) },
  { MUX_FIELD_U32, "ran_ms", offsetof (MuxPeerMsg, ran_ms) },
};

static const MuxPeerField handover_fields[] = {
  { MUX_FIELD_NAME, "worker", offsetof (MuxPeerMsg, worker) },
  { MUX_FIELD_U64, "epoch", offsetof (MuxPeerMsg, epoch) },
};

static const MuxPeerField revision_fields[] = {
  { MUX_FIELD_U64, "revision", offsetof (MuxPeerMsg, revision) },
};

static const MuxPeerField config_rows_fields[] = {
  { MUX_FIELD_U64, "revision", offsetof (MuxPeerMsg, revision) },
  { MUX_FIELD_BODY, "body", offsetof (MuxPeerMsg, body) },
};

static const MuxPeerField members_fields[] = {
  { MUX_FIELD_BODY, "body", offsetof (MuxPeerMsg, body) },
};

static const MuxPeerField hello_fields[] = {
  { MUX_FIELD_U32, "strength_milli", offsetof (MuxPeerMsg, cpu_share_milli) },
  { MUX_FIELD_ADDR, "from_addr", offsetof (MuxPeerMsg, from_addr) },
  { MUX_FIELD_U64, "epoch", offsetof (MuxPeerMsg, epoch) },
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_BOOL, "table_ok", offsetof (MuxPeerMsg, table_ok) },
  { MUX_FIELD_BOOL, "stopping", offsetof (MuxPeerMsg, stopping) },
  { MUX_FIELD_I64, "wall_ms", offsetof (MuxPeerMsg, wall_ms) },
  { MUX_FIELD_U32, "late_ms", offsetof (MuxPeerMsg, late_ms) },
  { MUX_FIELD_U32, "link_kbps", offsetof (MuxPeerMsg, link_kbps) },
  { MUX_FIELD_U32, "memory_mib", offsetof (MuxPeerMsg, memory_mib) },
  { MUX_FIELD_U32, "loop_ms", offsetof (MuxPeerMsg, loop_ms) },
};
/* The last four. */
#define HELLO_OPTIONAL 4

static const MuxPeerField hello_reply_fields[] = {
  { MUX_FIELD_U64, "epoch", offsetof (MuxPeerMsg, epoch) },
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_BOOL, "table_ok", offsetof (MuxPeerMsg, table_ok) },
  { MUX_FIELD_I64, "wall_ms", offsetof (MuxPeerMsg, wall_ms) },
  { MUX_FIELD_U32, "late_ms", offsetof (MuxPeerMsg, late_ms) },
  { MUX_FIELD_BODY, "body", offsetof (MuxPeerMsg, body) },
};

static const MuxPeerField query_fields[] = {
  { MUX_FIELD_ADDR, "from_addr", offsetof (MuxPeerMsg, from_addr) },
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_BODY, "body", offsetof (MuxPeerMsg, body) },
};

static const MuxPeerField job_reply_fields[] = {
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_BOOL, "found", offsetof (MuxPeerMsg, found) },
  { MUX_FIELD_U32, "job_state", offsetof (MuxPeerMsg, job_state) },
  { MUX_FIELD_U32, "queued", offsetof (MuxPeerMsg, queued) },
};

static const MuxPeerField approval_reply_fields[] = {
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_BOOL, "found", offsetof (MuxPeerMsg, found) },
  { MUX_FIELD_BODY, "body", offsetof (MuxPeerMsg, body) },
};

static const MuxPeerField submit_reply_fields[] = {
  { MUX_FIELD_U64, "call", offsetof (MuxPeerMsg, call_id) },
  { MUX_FIELD_U32, "outcome", offsetof (MuxPeerMsg, outcome) },
  { MUX_FIELD_U32, "retry_ms", offsetof (MuxPeerMsg, retry_ms) },
  { MUX_FIELD_BOOL, "table_ok", offsetof (MuxPeerMsg, table_ok) },
};

#define COUNT(array) ((uint32_t) (sizeof (array) / sizeof (array)[0]))

const MuxPeerFieldList mux_peer_common_fields
    = { common_fields, COUNT (common_fields), 0 };

const MuxPeerFieldList mux_peer_verb_fields[MUX_PEER_VERB_COUNT] = {
  [MUX_PEER_HEARTBEAT] = { heartbeat_fields, COUNT (heartbeat_fields), 0 },
  [MUX_PEER_GRANT_REQUEST]
  = { grant_request_fields, COUNT (grant_request_fields), 0 },
  [MUX_PEER_GRANT] = { grant_fields, COUNT (grant_fields), 0 },
  [MUX_PEER_GRANT_REFUSED] = { refused_fields, COUNT (refused_fields), 0 },
  [MUX_PEER_GRANT_CANCEL] = { task_fields, COUNT (task_fields), 0 },
  [MUX_PEER_GRANT_END] = { ended_fields, COUNT (ended_fields), 0 },
  [MUX_PEER_TASK_ENDED] = { ended_fields, COUNT (ended_fields), 0 },
  [MUX_PEER_HANDOVER] = { handover_fields, COUNT (handover_fields), 0 },
  [MUX_PEER_CONFIG_HINT] = { revision_fields, COUNT (revision_fields), 0 },
  [MUX_PEER_CONFIG_REQUEST] = { revision_fields, COUNT (revision_fields), 0 },
  [MUX_PEER_CONFIG_ROWS]
  = { config_rows_fields, COUNT (config_rows_fields), 0 },
  [MUX_PEER_BYE] = { NULL, 0, 0 },
  [MUX_PEER_MEMBERS] = { members_fields, COUNT (members_fields), 0 },
  [MUX_PEER_JOB_HINT] = { task_fields, COUNT (task_fields), 0 },
  [MUX_PEER_HELLO] = { hello_fields, COUNT (hello_fields), HELLO_OPTIONAL },
  [MUX_PEER_HELLO_REPLY]
  = { hello_reply_fields, COUNT (hello_reply_fields), 0 },
  [MUX_PEER_JOB_QUERY] = { query_fields, COUNT (query_fields), 0 },
  [MUX_PEER_JOB_REPLY] = { job_reply_fields, COUNT (job_reply_fields), 0 },
  [MUX_PEER_APPROVAL_QUERY] = { query_fields, COUNT (query_fields), 0 },
  [MUX_PEER_PROXY_CALL] = { query_fields, COUNT (query_fields), 0 },
  [MUX_PEER_PROXY_REPLY]
  = { approval_reply_fields, COUNT (approval_reply_fields), 0 },
  [MUX_PEER_SUBMIT_REQUEST] = { query_fields, COUNT (query_fields), 0 },
  [MUX_PEER_SUBMIT_REPLY]
  = { submit_reply_fields, COUNT (submit_reply_fields), 0 },
  [MUX_PEER_APPROVAL_REPLY]
  = { approval_reply_fields, COUNT (approval_reply_fields), 0 },
};

static uint32_t
list_entry_count (const MuxPeerFieldList *list)
{
  uint32_t n = list->count;

  for (uint32_t i = 0; i < list->count; i++)
    if (list->fields[i].kind == MUX_FIELD_SIZE)
      n += MUX_PEER_SIZE_ENTRIES - 1;
  return n;
}

uint32_t
mux_peer_entry_count (MuxPeerVerb verb)
{
  return MUX_PEER_HEADER_ENTRIES + list_entry_count (&mux_peer_common_fields)
         + list_entry_count (&mux_peer_verb_fields[verb]);
}

MuxPeerFieldList
mux_peer_without_optional (const MuxPeerFieldList *list)
{
  return (MuxPeerFieldList){ list->fields, list->count - list->optional, 0 };
}
