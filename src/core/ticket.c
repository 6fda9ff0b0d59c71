#include "ticket.h"

#include "base/mac.h"
#include "config.h"
#include "task_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Fields of a ticket's text without its message authentication code. */
#define FIELD_COUNT 9
#define TICKET_VERSION "1"

bool
ticket_write (const MuxCore *core,
              const Ticket *ticket,
              char out[MUX_TICKET_LEN])
{
  char key[MUX_ID_HEX_LEN];
  char code[MUX_HMAC_HEX_LEN];
  int len;

  mux_id_format (ticket->key, key);
  len = snprintf (
      out, MUX_TICKET_LEN,
      TICKET_VERSION ";%s;%s;%s;%s;%s;%" PRIu64 ";%" PRIu64 ";%" PRId64, key,
      ticket->class_name, ticket->owner, ticket->worker, ticket->addr,
      ticket->incarnation, ticket->epoch, ticket->not_after_ms);
  if (len < 0 || len + MUX_HMAC_HEX_LEN + 1 > MUX_TICKET_LEN
      || !mux_hmac_hex (core->opt.ticket_key, out, code))
    return false;
  snprintf (out + len, MUX_TICKET_LEN - (size_t) len, ";%s", code);
  return true;
}

static bool
verify_code (const MuxCore *core, char *text)
{
  char *last = strrchr (text, ';');
  char code[MUX_HMAC_HEX_LEN];

  if (last == NULL || strlen (last + 1) != MUX_HMAC_HEX_LEN - 1)
    return false;
  *last = 0;
  return mux_hmac_hex (core->opt.ticket_key, text, code)
         && mux_hmac_hex_equal (code, last + 1);
}

static bool
parse_name (const char *field, char out[MUX_NAME_LEN])
{
  return mux_name_valid (field) && mux_name_copy (out, field);
}

bool
ticket_read (const MuxCore *core, const char *text, Ticket *ticket)
{
  char buf[MUX_TICKET_LEN];
  char *rest = buf;
  char *field[FIELD_COUNT];
  uint32_t count = 0;

  *ticket = (Ticket){ 0 };
  if (strlen (text) >= sizeof buf)
    return false;
  memcpy (buf, text, strlen (text) + 1);
  if (!verify_code (core, buf))
    return false;
  while (rest != NULL && count < FIELD_COUNT)
    field[count++] = strsep (&rest, ";");
  if (rest != NULL || count != FIELD_COUNT
      || strcmp (field[0], TICKET_VERSION) != 0
      || !mux_id_parse (field[1], &ticket->key)
      || !parse_name (field[2], ticket->class_name)
      || !parse_name (field[3], ticket->owner)
      || !parse_name (field[4], ticket->worker)
      || strlen (field[5]) >= MUX_ADDR_LEN)
    return false;
  snprintf (ticket->addr, sizeof ticket->addr, "%s", field[5]);
  return sscanf (field[6], "%" SCNu64, &ticket->incarnation) == 1
         && sscanf (field[7], "%" SCNu64, &ticket->epoch) == 1
         && sscanf (field[8], "%" SCNd64, &ticket->not_after_ms) == 1;
}

static void
refuse (MuxCore *core, const MuxCoreRequest *request, MuxReason reason)
{
  core_respond (core, request->call_id, MUX_OUTCOME_NOT_RUN, reason, 0,
                (MuxId){ 0, 0 }, NULL);
}

void
ticket_issue (MuxCore *core, const MuxCoreRequest *request)
{
  const MuxClassSpec *spec = config_class (core, request->name);
  TaskOptions options = { .spec = spec,
                          .key = core_new_task_id (core),
                          .call_id = request->call_id,
                          .expires_ms = core->now_ms + request->timeout_ms,
                          .attempt = 1,
                          .for_ticket = true };

  if (task_request_refused (core, request, spec))
    return;
  if (!task_begin (core, &options))
    refuse (core, request, MUX_REASON_INTERNAL);
}

void
ticket_granted (MuxCore *core, Task *task, const MuxPeerMsg *grant)
{
  Ticket ticket = { .key = task->key,
                    .incarnation = grant->incarnation,
                    .epoch = grant->epoch,
                    .not_after_ms = grant->not_after_ms };
  char text[MUX_TICKET_LEN];
  json_t *json;

  mux_name_copy (ticket.class_name, task->class_name);
  mux_name_copy (ticket.owner, task->owner);
  mux_name_copy (ticket.worker, grant->worker);
  snprintf (ticket.addr, sizeof ticket.addr, "%s", grant->worker_addr);
  if (!ticket_write (core, &ticket, text))
    {
      task_end_grant (core, task, MUX_TASK_ABSENT, 0);
      task_finish (core, task, MUX_OUTCOME_NOT_RUN, MUX_REASON_INTERNAL, 0,
                   MUX_TASK_ABSENT, NULL);
      return;
    }
  json = json_pack ("{s:s, s:I}", "ticket", text, "valid_ms",
                    (json_int_t) GRANT_TTL_MS);
  core_respond_json (core, task->waiters->call_id, 200, json);
  mux_count (core->counters, MUX_COUNT_TICKETS, 1);
  task_free (core, task);
}

void
ticket_redeem (MuxCore *core, const MuxCoreRequest *request)
{
  const MuxClassSpec *spec = config_class (core, request->name);
  Ticket ticket;
  Task *task;

  mux_count (core->counters, MUX_COUNT_REQUESTS, 1);
  if (task_request_refused (core, request, spec))
    return;
  if (!ticket_read (core, request->ticket, &ticket)
      || strcmp (ticket.class_name, request->name) != 0)
    {
      refuse (core, request, MUX_REASON_BAD_TICKET);
      return;
    }
  task = task_find (core, ticket.key);
  if (task != NULL)
    {
      task_join (core, task, request);
      return;
    }
  if (!task_begin_ticket (core, request, spec, &ticket))
    refuse (core, request, MUX_REASON_INTERNAL);
}
