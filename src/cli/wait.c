#include "verb.h"

#include <string.h>

#define POLL_MS 100
#define MEMBER_DEAD "dead"

/* A dead member can't be reached and reads the configuration before it is
 * ready again; every other one has to confirm. */
static bool
member_lacks (const json_t *member, json_int_t revision)
{
  const char *state = json_string_value (json_object_get (member, "state"));
  json_int_t has = json_integer_value (json_object_get (member, "revision"));

  if (state != NULL && strcmp (state, MEMBER_DEAD) == 0)
    return false;
  return has < revision;
}

static void
add_instance (json_t *waiting, const json_t *of)
{
  json_t *name = json_object_get (of, "instance");
  size_t i;
  json_t *known;

  json_array_foreach (waiting, i, known)
  {
    if (json_equal (known, name))
      return;
  }
  if (name != NULL)
    json_array_append (waiting, name);
  else
    json_array_append_new (waiting, json_string ("(without a name)"));
}

/* Names of those that @status shows before @revision. */
static json_t *
lacking (const json_t *status, json_int_t revision)
{
  json_t *waiting = json_array ();
  size_t i;
  json_t *member;

  if (member_lacks (status, revision))
    add_instance (waiting, status);
  json_array_foreach (json_object_get (status, "members"), i, member)
  {
    if (member_lacks (member, revision))
      add_instance (waiting, member);
  }
  return waiting;
}

static json_t *
ask_lacking (MuxCliCall *call, json_int_t revision)
{
  MuxHttpCall http = { .method = "GET",
                       .path = "/v1/status",
                       .timeout_ms = call->timeout_ms,
                       .repeatable = true };
  MuxHttpAnswer answer;
  json_t *status = NULL;
  json_t *waiting;

  if (mux_http_exchange (call->host, &call->servers, &http, &answer)
      == MUX_EXIT_OK)
    status = json_loadb (answer.body, answer.body_len, 0, NULL);
  mux_http_answer_free (&answer);
  if (status == NULL)
    return json_pack ("[s]", "(no daemon answered)");
  waiting = lacking (status, revision);
  json_decref (status);
  return waiting;
}

bool
mux_wait_in_force (MuxCliCall *call, json_int_t revision, json_t **waiting)
{
  MuxCliHost *host = call->host;
  uint64_t end
      = host->now_ms (host) + (uint64_t) call->args.number[MUX_ARG_WAIT_MS];

  for (;;)
    {
      *waiting = ask_lacking (call, revision);
      if (json_array_size (*waiting) == 0)
        return true;
      if (host->now_ms (host) >= end)
        return false;
      json_decref (*waiting);
      host->pause_ms (host, POLL_MS);
    }
}
