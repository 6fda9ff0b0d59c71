#include "verb.h"

#include <string.h>

#define POLL_MS 100
#define MEMBER_DEAD "dead"

/* A dead member is unreachable, and reads the configuration before it becomes
 * ready again; every other member has to confirm the revision. */
static bool
member_is_behind (const json_t *member, json_int_t revision)
{
  const char *state = json_string_value (json_object_get (member, "state"));
  json_int_t has = json_integer_value (json_object_get (member, "revision"));

  if (state != NULL && strcmp (state, MEMBER_DEAD) == 0)
    return false;
  return has < revision;
}

static void
add_instance (json_t *unconfirmed, const json_t *of)
{
  json_t *name = json_object_get (of, "instance");
  size_t i;
  json_t *known;

  json_array_foreach (unconfirmed, i, known)
  {
    if (json_equal (known, name))
      return;
  }
  if (name != NULL)
    json_array_append (unconfirmed, name);
  else
    json_array_append_new (unconfirmed, json_string ("(without a name)"));
}

/* Returns the names of the members that have not reached @revision. */
static json_t *
unconfirmed_members (const json_t *status, json_int_t revision)
{
  json_t *unconfirmed = json_array ();
  size_t i;
  json_t *member;

  if (member_is_behind (status, revision))
    add_instance (unconfirmed, status);
  json_array_foreach (json_object_get (status, "members"), i, member)
  {
    if (member_is_behind (member, revision))
      add_instance (unconfirmed, member);
  }
  return unconfirmed;
}

static json_t *
read_unconfirmed (MuxCliCall *call, json_int_t revision)
{
  MuxCliRequest http = { .method = "GET",
                         .path = "/v1/status",
                         .timeout_ms = call->timeout_ms,
                         .repeatable = true };
  MuxCliResponse response;
  json_t *status = NULL;
  json_t *unconfirmed;

  if (mux_cli_exchange (call->host, &call->servers, &http, &response)
      == MUX_EXIT_OK)
    status = json_loadb (response.body, response.body_len, 0, NULL);
  mux_cli_response_free (&response);
  if (status == NULL)
    return json_pack ("[s]", "(no daemon answered)");
  unconfirmed = unconfirmed_members (status, revision);
  json_decref (status);
  return unconfirmed;
}

bool
mux_wait_until_applied (MuxCliCall *call,
                        json_int_t revision,
                        json_t **unconfirmed)
{
  MuxCliHost *host = call->host;
  uint64_t end
      = host->now_ms (host) + (uint64_t) call->args.number[MUX_ARG_WAIT_MS];

  for (;;)
    {
      *unconfirmed = read_unconfirmed (call, revision);
      if (json_array_size (*unconfirmed) == 0)
        return true;
      if (host->now_ms (host) >= end)
        return false;
      json_decref (*unconfirmed);
      host->pause_ms (host, POLL_MS);
    }
}
