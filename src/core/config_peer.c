#include "config_private.h"

#include <string.h>

/* A page holds the objects that were last changed after a given revision, in
 * the order of their changes. An object that changes during a transfer moves
 * behind the cursor and is sent again, so that all pages together amount to
 * the sender's state at the last one. They are applied only together. */

static void
transfer_end (Config *config)
{
  json_decref (config->transfer.rows);
  memset (&config->transfer, 0, sizeof config->transfer);
}

static void
transfer_request (MuxCore *core, const Member *member)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_REQUEST };

  msg.revision = core->config->transfer.cursor;
  member_send (core, member, &msg);
  core->config->next_peer_request_ms
      = core->now_ms + core_jitter (core, CONFIG_PEER_REQUEST_MS);
}

static void
transfer_begin (MuxCore *core, const Member *member, uint64_t after)
{
  Config *config = core->config;
  ConfigTransfer *transfer = &config->transfer;

  transfer_end (config);
  transfer->rows = json_array ();
  if (transfer->rows == NULL)
    return;
  mux_name_copy (transfer->peer, member->name);
  transfer->cursor = after;
  transfer->complete = after == 0;
  if (after > 0)
    {
      transfer->has_base = true;
      transfer->base = after;
    }
  transfer_request (core, member);
}

/* Returns a random live peer with a higher revision than is in force here; if
 * there is none and nothing has been loaded here, any live peer. */
static const Member *
random_peer (MuxCore *core)
{
  const Config *config = core->config;
  const Member *member, *ahead = NULL, *other = NULL;
  uint64_t ahead_count = 0, other_count = 0;

  for (member = core->members; member != NULL; member = member->hh.next)
    {
      if (member->state != MEMBER_LIVE)
        continue;
      if (member->revision > config->revision
          && core_random (core) % ++ahead_count == 0)
        ahead = member;
      if (!config->loaded && core_random (core) % ++other_count == 0)
        other = member;
    }
  return ahead != NULL ? ahead : other;
}

void
config_request_rows (MuxCore *core, Member *member)
{
  Config *config = core->config;
  const Member *peer = member != NULL ? member : random_peer (core);

  config->next_peer_request_ms
      = core->now_ms + core_jitter (core, CONFIG_PEER_REQUEST_MS);
  if (peer != NULL)
    transfer_begin (core, peer, config->revision);
}

void
config_send_hint (MuxCore *core, bool all)
{
  Config *config = core->config;
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_HINT };
  const Member *sender = member_find (core, config->hint_sender);

  msg.revision = config->revision;
  config->hint_sender[0] = 0;
  if (all)
    members_send_all (core, &msg);
  else if (sender != NULL)
    member_send (core, sender, &msg);
}

void
config_peer_revision (MuxCore *core, Member *member, uint64_t revision)
{
  Config *config = core->config;
  bool higher = revision > config->known_revision;

  if (higher)
    config->known_revision = revision;
  if (config->loaded && revision <= config->revision)
    return;
  if (higher && !config->store_down)
    config_follow (core);
  if ((!config->loaded || config->store_down)
      && core->now_ms >= config->next_peer_request_ms)
    config_request_rows (core, member);
}

static json_t *
page_objects (Config *config, uint64_t after, bool *more)
{
  json_t *objects = json_array ();
  const ConfigObject *object;

  *more = false;
  config_objects_sort (config, true);
  for (object = config->objects; object != NULL; object = object->hh.next)
    {
      if (object->revision <= after)
        continue;
      if (json_array_size (objects) == CONFIG_PAGE_OBJECTS)
        {
          *more = true;
          break;
        }
      if (json_array_append_new (objects, config_object_json (object)) != 0)
        {
          json_decref (objects);
          return NULL;
        }
    }
  return objects;
}

static void
send_page (MuxCore *core, const MuxPeerMsg *request)
{
  Config *config = core->config;
  const Member *member = member_find (core, request->from);
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_ROWS };
  json_t *objects;
  bool more;

  if (member == NULL || !config->loaded)
    return;
  objects = page_objects (config, request->revision, &more);
  if (objects == NULL)
    return;
  msg.revision = config->revision;
  msg.body = config_json_blob (json_pack (
      "{s:I, s:I, s:I, s:b, s:o}", "after", (json_int_t) request->revision,
      "through", (json_int_t) config->revision, "floor",
      (json_int_t) config->floor, "more", (int) more, "objects", objects));
  if (msg.body != NULL)
    member_send (core, member, &msg);
  mux_blob_unref (msg.body);
}

static void
transfer_apply (MuxCore *core, const json_t *page)
{
  Config *config = core->config;
  ConfigTransfer *transfer = &config->transfer;
  uint64_t through = json_number (page, "through");
  bool loaded = config->loaded;
  bool applied
      = through > config->revision
        && config_apply_state (core, transfer->rows, transfer->complete,
                               json_number (page, "floor"), through);

  if (applied || through <= config->revision)
    config->loaded = true;
  transfer_end (config);
  if (applied)
    config_revision_changed (core, false);
  if (config->loaded && !loaded)
    core_log (core, MUX_LOG_NOTICE, "config_from_peer", "revision=%" PRIu64,
              config->revision);
}

static void
append_page (MuxCore *core, const Member *member, const json_t *page)
{
  ConfigTransfer *transfer = &core->config->transfer;
  json_t *objects = json_object_get (page, "objects");
  json_t *last;

  if (!transfer->has_base)
    {
      transfer->has_base = true;
      transfer->base = json_number (page, "through");
    }
  if (json_number (page, "floor") > transfer->base)
    {
      transfer_begin (core, member, 0);
      return;
    }
  json_array_extend (transfer->rows, objects);
  if (!json_is_true (json_object_get (page, "more")))
    {
      transfer_apply (core, page);
      return;
    }
  last = json_array_get (objects, json_array_size (objects) - 1);
  transfer->cursor = json_number (last, "revision");
  transfer_request (core, member);
}

static void
receive_page (MuxCore *core, const MuxPeerMsg *msg)
{
  const ConfigTransfer *transfer = &core->config->transfer;
  const Member *member = member_find (core, msg->from);
  json_t *page;

  if (member == NULL || msg->body == NULL || transfer->rows == NULL
      || strcmp (transfer->peer, msg->from) != 0)
    return;
  page = json_loadb (msg->body->bytes, msg->body->len, 0, NULL);
  /* Skip a page that has arrived before: the next one is expected. */
  if (page != NULL && json_number (page, "after") == transfer->cursor)
    append_page (core, member, page);
  json_decref (page);
}

void
config_peer_message (MuxCore *core, const MuxPeerMsg *msg)
{
  Member *member = member_find (core, msg->from);

  if (msg->verb == MUX_PEER_CONFIG_REQUEST)
    send_page (core, msg);
  else if (msg->verb == MUX_PEER_CONFIG_ROWS)
    receive_page (core, msg);
  else if (member != NULL)
    {
      if (member->revision < msg->revision)
        member->revision = msg->revision;
      if (core->config->revision < msg->revision)
        mux_name_copy (core->config->hint_sender, member->name);
      config_peer_revision (core, member, msg->revision);
    }
}
