#include "config_private.h"

#include <string.h>

/* A page holds the objects whose last change lies after a revision, in the
 * order of their changes.  An object that changes while pages are on their
 * way moves behind the cursor and comes again, so that all pages up to the
 * last one amount to the sender's state at that moment, whichever its
 * changes.  Only that whole is ever put in force. */

static void
transfer_end (Config *config)
{
  json_decref (config->transfer.rows);
  memset (&config->transfer, 0, sizeof config->transfer);
}

static void
transfer_ask (MuxCore *core, const Member *member)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_ASK };

  msg.revision = core->config->transfer.cursor;
  member_send (core, member, &msg);
  core->config->peer_ask_ms
      = core->now_ms + core_jitter (core, CONFIG_PEER_ASK_MS);
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
  transfer->whole = after == 0;
  if (after > 0)
    {
      transfer->based = true;
      transfer->base = after;
    }
  transfer_ask (core, member);
}

static bool
may_have_more (const Config *config, const Member *member)
{
  return member->state == MEMBER_LIVE
         && (!config->loaded || member->revision > config->revision);
}

static const Member *
random_peer (MuxCore *core)
{
  const Member *member, *found = NULL;
  uint64_t count = 0;

  for (member = core->members; member != NULL; member = member->hh.next)
    if (may_have_more (core->config, member)
        && core_random (core) % ++count == 0)
      found = member;
  return found;
}

void
config_peer_ask (MuxCore *core, Member *member)
{
  Config *config = core->config;
  const Member *peer = member != NULL ? member : random_peer (core);

  config->peer_ask_ms = core->now_ms + core_jitter (core, CONFIG_PEER_ASK_MS);
  if (peer != NULL)
    transfer_begin (core, peer, config->revision);
}

void
config_hint (MuxCore *core)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_HINT };

  msg.revision = core->config->revision;
  members_send_all (core, &msg);
}

void
config_heard (MuxCore *core, Member *member, uint64_t revision)
{
  Config *config = core->config;
  bool news = revision > config->heard;

  if (news)
    config->heard = revision;
  if (config->loaded && revision <= config->revision)
    return;
  if (news && !config->down)
    config_follow (core);
  if ((!config->loaded || config->down) && core->now_ms >= config->peer_ask_ms)
    config_peer_ask (core, member);
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
      /* Objects of one revision, as a snapshot's removals are, stay on one
       * page: the cursor could not tell them apart. */
      if (json_array_size (objects) >= CONFIG_PAGE_OBJECTS
          && ((const ConfigObject *) object->hh.prev)->revision
                 < object->revision)
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
send_page (MuxCore *core, const MuxPeerMsg *ask)
{
  Config *config = core->config;
  const Member *member = member_find (core, ask->from);
  MuxPeerMsg msg = { .verb = MUX_PEER_CONFIG_ROWS };
  json_t *objects;
  bool more;

  if (member == NULL || !config->loaded)
    return;
  objects = page_objects (config, ask->revision, &more);
  if (objects == NULL)
    return;
  msg.revision = config->revision;
  msg.body = config_json_blob (json_pack (
      "{s:I, s:I, s:I, s:b, s:o}", "after", (json_int_t) ask->revision,
      "through", (json_int_t) config->revision, "floor",
      (json_int_t) config->floor, "more", (int) more, "objects", objects));
  if (msg.body != NULL)
    member_send (core, member, &msg);
  mux_blob_unref (msg.body);
}

static uint64_t
page_number (const json_t *page, const char *key)
{
  return (uint64_t) json_integer_value (json_object_get (page, key));
}

static void
transfer_apply (MuxCore *core, const json_t *page)
{
  Config *config = core->config;
  ConfigTransfer *transfer = &config->transfer;
  uint64_t through = page_number (page, "through");
  bool loaded = config->loaded;
  bool applied = through > config->revision
                 && config_apply_state (core, transfer->rows, transfer->whole,
                                        page_number (page, "floor"), through);

  if (applied || (!loaded && through == config->revision))
    config->loaded = true;
  transfer_end (config);
  if (applied)
    config_moved (core);
  if (config->loaded && !loaded)
    core_log (core, 5, "config_from_peer", "revision=%llu",
              (unsigned long long) config->revision);
}

static void
take_page (MuxCore *core, const Member *member, const json_t *page)
{
  ConfigTransfer *transfer = &core->config->transfer;
  json_t *objects = json_object_get (page, "objects");
  json_t *last;

  if (!transfer->based)
    {
      transfer->based = true;
      transfer->base = page_number (page, "through");
    }
  if (page_number (page, "floor") > transfer->base)
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
  transfer->cursor = page_number (last, "revision");
  transfer_ask (core, member);
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
  /* A page that was asked for before: its successor is awaited. */
  if (page != NULL && page_number (page, "after") == transfer->cursor)
    take_page (core, member, page);
  json_decref (page);
}

void
config_peer (MuxCore *core, const MuxPeerMsg *msg)
{
  Member *member = member_find (core, msg->from);

  if (msg->verb == MUX_PEER_CONFIG_ASK)
    send_page (core, msg);
  else if (msg->verb == MUX_PEER_CONFIG_ROWS)
    receive_page (core, msg);
  else if (member != NULL)
    {
      if (member->revision < msg->revision)
        member->revision = msg->revision;
      config_heard (core, member, msg->revision);
    }
}
