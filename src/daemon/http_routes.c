#include "http_server_private.h"

#include "base/number.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Longest timeout that a caller may set. */
#define TIMEOUT_MAX_MS 600000
#define TIMEOUT_DEFAULT_MS 30000

/* Parses a whole number from @min to @max.  A finding at @place is added when
 * @text is none. */
static bool
parse_number (const char *text,
              const char *place,
              uint64_t min,
              uint64_t max,
              uint64_t *value,
              MuxFindings *findings)
{
  uint64_t n;

  if (mux_unsigned_parse (text, max, &n) && n >= min)
    {
      *value = n;
      return true;
    }
  mux_findings_add (findings, place,
                    "a whole number of %" PRIu64 " to %" PRIu64 " is needed",
                    min, max);
  return false;
}

static const char *
header (const struct _u_request *request, const char *name)
{
  return u_map_get_case (request->map_header, name);
}

bool
mux_route_is_first_attempt (const struct _u_request *request)
{
  const char *first = header (request, "Cuminmux-First");

  return first != NULL && strcmp (first, "1") == 0;
}

/* Value of a header that must not occur twice. */
static const char *
single_header (const struct _u_request *request,
               const char *name,
               MuxFindings *findings)
{
  if (mux_connection_has_duplicate_header (name))
    mux_findings_add (findings, name, "is given twice");
  return header (request, name);
}

static const char *
url_param (const struct _u_request *request, const char *name)
{
  return u_map_get (request->map_url, name);
}

static void
parse_name (const char *text,
            const char *place,
            char name[MUX_NAME_LEN],
            MuxFindings *findings)
{
  if (text != NULL && mux_name_valid (text))
    mux_name_copy (name, text);
  else
    mux_findings_add (findings, place, "1 to %d of a-z A-Z 0-9 . _ - needed",
                      MUX_NAME_LEN - 1);
}

static void
parse_key (const struct _u_request *request,
           MuxCoreRequest *core_request,
           MuxReason *reason)
{
  const char *key = header (request, "Idempotency-Key");
  size_t len;

  if (key == NULL)
    return;
  if (mux_connection_has_duplicate_header ("Idempotency-Key"))
    *reason = MUX_REASON_BAD_KEY;
  len = strlen (key);
  for (size_t i = 0; i < len; i++)
    if (key[i] < ' ' || key[i] > '~')
      *reason = MUX_REASON_BAD_KEY;
  if (len == 0 || len >= MUX_KEY_LEN)
    *reason = MUX_REASON_BAD_KEY;
  if (*reason == MUX_REASON_NONE)
    memcpy (core_request->key, key, len + 1);
}

static void
parse_ticket (const struct _u_request *request,
              MuxCoreRequest *core_request,
              MuxReason *reason)
{
  const char *ticket = header (request, "Cuminmux-Ticket");

  if (ticket == NULL)
    return;
  /* With both a key and a ticket it would be ambiguous which identifies the
   * work. */
  if (ticket[0] == 0 || strlen (ticket) >= MUX_TICKET_LEN
      || core_request->key[0] != 0
      || mux_connection_has_duplicate_header ("Cuminmux-Ticket"))
    *reason = MUX_REASON_BAD_TICKET;
  else
    memcpy (core_request->ticket, ticket, strlen (ticket) + 1);
}

static void
parse_body (const struct _u_request *request,
            MuxCoreRequest *core_request,
            MuxReason *reason)
{
  core_request->body
      = mux_blob_new (request->binary_body, request->binary_body_length);
  if (core_request->body == NULL)
    *reason = MUX_REASON_INTERNAL;
}

static void
parse_task_request (const struct _u_request *request,
                    MuxCoreRequest *core_request,
                    MuxFindings *findings,
                    MuxReason *reason)
{
  const char *text = single_header (request, "Cuminmux-Give-Up-Ms", findings);
  uint64_t timeout_ms = TIMEOUT_DEFAULT_MS;

  parse_name (url_param (request, "class_name"), "path.class",
              core_request->name, findings);
  if (text != NULL)
    parse_number (text, "Cuminmux-Give-Up-Ms", 1, TIMEOUT_MAX_MS, &timeout_ms,
                  findings);
  core_request->timeout_ms = (uint32_t) timeout_ms;
  parse_key (request, core_request, reason);
  core_request->key_is_new = mux_route_is_first_attempt (request);
  parse_ticket (request, core_request, reason);
  parse_body (request, core_request, reason);
}

static void
parse_ticket_issue (const struct _u_request *request,
                    MuxCoreRequest *core_request,
                    MuxFindings *findings,
                    MuxReason *reason)
{
  (void) reason;
  parse_name (url_param (request, "class_name"), "path.class",
              core_request->name, findings);
  core_request->timeout_ms = TIMEOUT_DEFAULT_MS;
}

static void
parse_job_submit (const struct _u_request *request,
                  MuxCoreRequest *core_request,
                  MuxFindings *findings,
                  MuxReason *reason)
{
  uint64_t tasks = 0;

  parse_name (url_param (request, "class"), "query.class", core_request->name,
              findings);
  parse_number (url_param (request, "tasks"), "query.tasks", 1,
                MUX_JOB_TASKS_MAX, &tasks, findings);
  core_request->task_count = (uint32_t) tasks;
  parse_key (request, core_request, reason);
  parse_body (request, core_request, reason);
}

static void
parse_job (const struct _u_request *request,
           MuxCoreRequest *core_request,
           MuxFindings *findings,
           MuxReason *reason)
{
  (void) reason;
  if (!mux_id_parse (url_param (request, "job_id"), &core_request->id))
    mux_findings_add (findings, "path.id", "32 hexadecimal digits needed");
}

static void
parse_job_get (const struct _u_request *request,
               MuxCoreRequest *core_request,
               MuxFindings *findings,
               MuxReason *reason)
{
  const char *text = url_param (request, "wait_ms");
  uint64_t wait_ms = 0;

  parse_job (request, core_request, findings, reason);
  if (text == NULL
      || !parse_number (text, "query.wait_ms", 0, TIMEOUT_MAX_MS, &wait_ms,
                        findings)
      || wait_ms == 0)
    return;
  core_request->verb = MUX_CORE_JOB_WAIT;
  core_request->timeout_ms = (uint32_t) wait_ms;
}

static void
parse_sort (const struct _u_request *request,
            MuxCoreRequest *core_request,
            MuxReason *reason)
{
  static const char *const name[MUX_CONFIG_SORT_COUNT] = {
    [MUX_CONFIG_CLASS] = "class",
    [MUX_CONFIG_PRODUCT] = "product",
    [MUX_CONFIG_CELL] = "cell",
    [MUX_CONFIG_DRAIN] = "drain",
  };
  const char *text = url_param (request, "sort_name");

  for (uint32_t i = 0; i < MUX_CONFIG_SORT_COUNT; i++)
    if (text != NULL && strcmp (text, name[i]) == 0)
      {
        core_request->sort = (MuxConfigSort) i;
        return;
      }
  *reason = MUX_REASON_UNKNOWN_PATH;
}

static void
parse_config_object (const struct _u_request *request,
                     MuxCoreRequest *core_request,
                     MuxFindings *findings,
                     MuxReason *reason)
{
  parse_sort (request, core_request, reason);
  parse_name (url_param (request, "object_name"), "path.name",
              core_request->name, findings);
}

static void
parse_config_list (const struct _u_request *request,
                   MuxCoreRequest *core_request,
                   MuxFindings *findings,
                   MuxReason *reason)
{
  (void) findings;
  parse_sort (request, core_request, reason);
}

/* Reads the change's id, its author and the expected revision. */
static void
parse_change (const struct _u_request *request,
              MuxCoreRequest *core_request,
              MuxFindings *findings)
{
  const char *change = single_header (request, "Cuminmux-Change", findings);
  const char *who = single_header (request, "Cuminmux-Who", findings);
  const char *expect = url_param (request, "expect");

  if (change != NULL && !mux_id_parse (change, &core_request->change_id))
    mux_findings_add (findings, "Cuminmux-Change",
                      "32 hexadecimal digits needed");
  if (who != NULL)
    parse_name (who, "Cuminmux-Who", core_request->author, findings);
  if (expect != NULL)
    core_request->has_expected
        = parse_number (expect, "query.expect", 0, UINT64_MAX,
                        &core_request->expected_revision, findings);
}

static void
parse_config_change (const struct _u_request *request,
                     MuxCoreRequest *core_request,
                     MuxFindings *findings,
                     MuxReason *reason)
{
  parse_config_object (request, core_request, findings, reason);
  parse_change (request, core_request, findings);
  if (core_request->verb == MUX_CORE_CONFIG_PUT)
    parse_body (request, core_request, reason);
  if (core_request->verb == MUX_CORE_CONFIG_REVERT)
    parse_number (url_param (request, "to"), "query.to", 0, UINT64_MAX,
                  &core_request->revision, findings);
}

static void
parse_history (const struct _u_request *request,
               MuxCoreRequest *core_request,
               MuxFindings *findings,
               MuxReason *reason)
{
  const char *after = url_param (request, "after");

  (void) reason;
  if (after != NULL)
    parse_number (after, "query.after", 0, UINT64_MAX, &core_request->revision,
                  findings);
}

static void
parse_undrain (const struct _u_request *request,
               MuxCoreRequest *core_request,
               MuxFindings *findings,
               MuxReason *reason)
{
  (void) reason;
  parse_name (url_param (request, "worker_name"), "path.worker",
              core_request->name, findings);
  core_request->sort = MUX_CONFIG_DRAIN;
  parse_change (request, core_request, findings);
}

static void
parse_drain (const struct _u_request *request,
             MuxCoreRequest *core_request,
             MuxFindings *findings,
             MuxReason *reason)
{
  parse_undrain (request, core_request, findings, reason);
  core_request->drain = true;
}

/* The names of path variables differ from those of query parameters: ulfius
 * keeps both in one map. */
static const MuxRoute routes[] = {
  { "POST", "/v1/request/:class_name", MUX_CORE_RUN_TASK, parse_task_request,
    NULL },
  { "POST", "/v1/ticket/:class_name", MUX_CORE_ISSUE_TICKET, parse_ticket_issue,
    NULL },
  { "POST", "/v1/jobs", MUX_CORE_JOB_SUBMIT, parse_job_submit, NULL },
  { "GET", "/v1/jobs", MUX_CORE_JOB_LIST, NULL, NULL },
  { "GET", "/v1/jobs/:job_id", MUX_CORE_JOB_GET, parse_job_get, NULL },
  { "DELETE", "/v1/jobs/:job_id", MUX_CORE_JOB_CANCEL, parse_job, NULL },
  { "PUT", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_PUT,
    parse_config_change, NULL },
  { "DELETE", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_REMOVE,
    parse_config_change, NULL },
  { "GET", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_GET,
    parse_config_object, NULL },
  { "GET", "/v1/config/:sort_name", MUX_CORE_CONFIG_LIST, parse_config_list,
    NULL },
  { "POST", "/v1/config/:sort_name/:object_name/revert", MUX_CORE_CONFIG_REVERT,
    parse_config_change, NULL },
  { "GET", "/v1/history", MUX_CORE_CONFIG_HISTORY, parse_history, NULL },
  { "GET", "/v1/status", MUX_CORE_STATUS, NULL, NULL },
  { "GET", "/v1/workers", MUX_CORE_WORKERS, NULL, NULL },
  { "GET", "/v1/risk", MUX_CORE_RISK, NULL, NULL },
  { "POST", "/v1/workers/:worker_name/drain", MUX_CORE_DRAIN, parse_drain,
    NULL },
  { "POST", "/v1/workers/:worker_name/undrain", MUX_CORE_DRAIN, parse_undrain,
    NULL },
  { "GET", "/metrics", MUX_CORE_STATUS, NULL, mux_respond_metrics },
  { "GET", "/healthz", MUX_CORE_STATUS, NULL, mux_respond_healthz },
  { "GET", "/readyz", MUX_CORE_STATUS, NULL, mux_respond_readyz },
};

/* Return: the length of the next segment of *@path, which is moved to its
 * begin; 0: there is none.  Empty segments are skipped. */
static size_t
next_segment (const char **path)
{
  *path += strspn (*path, "/");
  return strcspn (*path, "/");
}

/* @pattern and @segment: one segment each, of the given lengths. */
static bool
match_segment (const char *pattern,
               size_t pattern_len,
               const char *segment,
               size_t len,
               struct _u_map *variables)
{
  char name[MUX_NAME_LEN];
  char *encoded;
  char *value;
  bool ok;

  if (pattern[0] != ':')
    return pattern_len == len && strncmp (pattern, segment, len) == 0;
  if (variables == NULL)
    return true;
  snprintf (name, sizeof name, "%.*s", (int) pattern_len - 1, pattern + 1);
  encoded = o_strndup (segment, len);
  value = encoded != NULL ? ulfius_url_decode (encoded) : NULL;
  ok = value != NULL && mux_http_map_join (variables, name, value);
  o_free (value);
  o_free (encoded);
  return ok;
}

/* @variables: receives the path's variables; NULL: they are not read */
static bool
match_path (const char *pattern, const char *path, struct _u_map *variables)
{
  for (;;)
    {
      size_t pattern_len = next_segment (&pattern);
      size_t len = next_segment (&path);

      if (pattern_len == 0 || len == 0)
        return pattern_len == len;
      if (!match_segment (pattern, pattern_len, path, len, variables))
        return false;
      pattern += pattern_len;
      path += len;
    }
}

const MuxRoute *
mux_route_find (const char *method, const char *path, struct _u_map *variables)
{
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (strcmp (routes[i].method, method) == 0
        && match_path (routes[i].path, path, NULL))
      return match_path (routes[i].path, path, variables) ? &routes[i] : NULL;
  return NULL;
}

bool
mux_route_is_write (const MuxRoute *route)
{
  return strcmp (route->method, "GET") != 0;
}

bool
mux_route_uses_caller_slot (const MuxRoute *route)
{
  return route->verb == MUX_CORE_RUN_TASK
         || route->verb == MUX_CORE_ISSUE_TICKET
         || route->verb == MUX_CORE_JOB_SUBMIT
         || route->verb == MUX_CORE_JOB_GET;
}
