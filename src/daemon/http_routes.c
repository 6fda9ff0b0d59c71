#include "http_server_private.h"

#include "base/number.h"

#include <inttypes.h>
#include <string.h>

/* Most milliseconds that a caller may wait. */
#define WAIT_MAX_MS 600000
#define GIVE_UP_DEFAULT_MS 30000

/* @place is told to the caller when @text is no number in the range. */
static bool
read_number (const char *text,
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

/* A header that means one thing: given twice, it is refused. */
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
query (const struct _u_request *request, const char *name)
{
  return u_map_get (request->map_url, name);
}

static void
read_name (const char *text,
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
read_key (const struct _u_request *request,
          MuxCoreRequest *ask,
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
    memcpy (ask->key, key, len + 1);
}

static void
read_ticket (const struct _u_request *request,
             MuxCoreRequest *ask,
             MuxReason *reason)
{
  const char *ticket = header (request, "Cuminmux-Ticket");

  if (ticket == NULL)
    return;
  /* With a key besides, it would not be clear which of them names the work. */
  if (ticket[0] == 0 || strlen (ticket) >= MUX_TICKET_LEN || ask->key[0] != 0
      || mux_connection_has_duplicate_header ("Cuminmux-Ticket"))
    *reason = MUX_REASON_BAD_TICKET;
  else
    memcpy (ask->ticket, ticket, strlen (ticket) + 1);
}

static void
read_body (const struct _u_request *request,
           MuxCoreRequest *ask,
           MuxReason *reason)
{
  ask->body = mux_blob_new (request->binary_body, request->binary_body_length);
  if (ask->body == NULL)
    *reason = MUX_REASON_INTERNAL;
}

static void
read_request (const struct _u_request *request,
              MuxCoreRequest *ask,
              MuxFindings *findings,
              MuxReason *reason)
{
  const char *text = single_header (request, "Cuminmux-Give-Up-Ms", findings);
  uint64_t give_up_ms = GIVE_UP_DEFAULT_MS;

  read_name (query (request, "class_name"), "path.class", ask->name, findings);
  if (text != NULL)
    read_number (text, "Cuminmux-Give-Up-Ms", 1, WAIT_MAX_MS, &give_up_ms,
                 findings);
  ask->timeout_ms = (uint32_t) give_up_ms;
  read_key (request, ask, reason);
  ask->key_is_new = mux_route_is_first_attempt (request);
  read_ticket (request, ask, reason);
  read_body (request, ask, reason);
}

static void
read_ticket_ask (const struct _u_request *request,
                 MuxCoreRequest *ask,
                 MuxFindings *findings,
                 MuxReason *reason)
{
  (void) reason;
  read_name (query (request, "class_name"), "path.class", ask->name, findings);
  ask->timeout_ms = GIVE_UP_DEFAULT_MS;
}

static void
read_job_submit (const struct _u_request *request,
                 MuxCoreRequest *ask,
                 MuxFindings *findings,
                 MuxReason *reason)
{
  uint64_t tasks = 0;

  read_name (query (request, "class"), "query.class", ask->name, findings);
  read_number (query (request, "tasks"), "query.tasks", 1, MUX_JOB_TASKS_MAX,
               &tasks, findings);
  ask->task_count = (uint32_t) tasks;
  read_key (request, ask, reason);
  read_body (request, ask, reason);
}

static void
read_job (const struct _u_request *request,
          MuxCoreRequest *ask,
          MuxFindings *findings,
          MuxReason *reason)
{
  (void) reason;
  if (!mux_id_parse (query (request, "job_id"), &ask->id))
    mux_findings_add (findings, "path.id", "32 hexadecimal digits needed");
}

static void
read_job_get (const struct _u_request *request,
              MuxCoreRequest *ask,
              MuxFindings *findings,
              MuxReason *reason)
{
  const char *text = query (request, "wait_ms");
  uint64_t wait_ms = 0;

  read_job (request, ask, findings, reason);
  if (text == NULL
      || !read_number (text, "query.wait_ms", 0, WAIT_MAX_MS, &wait_ms,
                       findings)
      || wait_ms == 0)
    return;
  ask->verb = MUX_CORE_JOB_WAIT;
  ask->timeout_ms = (uint32_t) wait_ms;
}

static void
read_sort (const struct _u_request *request,
           MuxCoreRequest *ask,
           MuxReason *reason)
{
  static const char *const name[MUX_CONFIG_SORT_COUNT] = {
    [MUX_CONFIG_CLASS] = "class",
    [MUX_CONFIG_PRODUCT] = "product",
    [MUX_CONFIG_CELL] = "cell",
    [MUX_CONFIG_DRAIN] = "drain",
  };
  const char *text = query (request, "sort_name");

  for (uint32_t i = 0; i < MUX_CONFIG_SORT_COUNT; i++)
    if (text != NULL && strcmp (text, name[i]) == 0)
      {
        ask->sort = (MuxConfigSort) i;
        return;
      }
  *reason = MUX_REASON_UNKNOWN_PATH;
}

static void
read_config_object (const struct _u_request *request,
                    MuxCoreRequest *ask,
                    MuxFindings *findings,
                    MuxReason *reason)
{
  read_sort (request, ask, reason);
  read_name (query (request, "object_name"), "path.name", ask->name, findings);
}

static void
read_config_list (const struct _u_request *request,
                  MuxCoreRequest *ask,
                  MuxFindings *findings,
                  MuxReason *reason)
{
  (void) findings;
  read_sort (request, ask, reason);
}

/* Who changes what, and what they saw before. */
static void
read_change (const struct _u_request *request,
             MuxCoreRequest *ask,
             MuxFindings *findings)
{
  const char *change = single_header (request, "Cuminmux-Change", findings);
  const char *who = single_header (request, "Cuminmux-Who", findings);
  const char *expect = query (request, "expect");

  if (change != NULL && !mux_id_parse (change, &ask->change_id))
    mux_findings_add (findings, "Cuminmux-Change",
                      "32 hexadecimal digits needed");
  if (who != NULL)
    read_name (who, "Cuminmux-Who", ask->author, findings);
  if (expect != NULL)
    ask->has_expected = read_number (expect, "query.expect", 0, UINT64_MAX,
                                     &ask->expected_revision, findings);
}

static void
read_config_change (const struct _u_request *request,
                    MuxCoreRequest *ask,
                    MuxFindings *findings,
                    MuxReason *reason)
{
  read_config_object (request, ask, findings, reason);
  read_change (request, ask, findings);
  if (ask->verb == MUX_CORE_CONFIG_PUT)
    read_body (request, ask, reason);
  if (ask->verb == MUX_CORE_CONFIG_REVERT)
    read_number (query (request, "to"), "query.to", 0, UINT64_MAX,
                 &ask->revision, findings);
}

static void
read_history (const struct _u_request *request,
              MuxCoreRequest *ask,
              MuxFindings *findings,
              MuxReason *reason)
{
  const char *after = query (request, "after");

  (void) reason;
  if (after != NULL)
    read_number (after, "query.after", 0, UINT64_MAX, &ask->revision, findings);
}

static void
read_undrain (const struct _u_request *request,
              MuxCoreRequest *ask,
              MuxFindings *findings,
              MuxReason *reason)
{
  (void) reason;
  read_name (query (request, "worker_name"), "path.worker", ask->name,
             findings);
  ask->sort = MUX_CONFIG_DRAIN;
  read_change (request, ask, findings);
}

static void
read_drain (const struct _u_request *request,
            MuxCoreRequest *ask,
            MuxFindings *findings,
            MuxReason *reason)
{
  read_undrain (request, ask, findings, reason);
  ask->drain = true;
}

/* The variables of a path have names of their own: ulfius keeps them in one
 * map with the query. */
static const MuxRoute routes[] = {
  { "POST", "/v1/request/:class_name", MUX_CORE_RUN_TASK, read_request, NULL },
  { "POST", "/v1/ticket/:class_name", MUX_CORE_ISSUE_TICKET, read_ticket_ask,
    NULL },
  { "POST", "/v1/jobs", MUX_CORE_JOB_SUBMIT, read_job_submit, NULL },
  { "GET", "/v1/jobs", MUX_CORE_JOB_LIST, NULL, NULL },
  { "GET", "/v1/jobs/:job_id", MUX_CORE_JOB_GET, read_job_get, NULL },
  { "DELETE", "/v1/jobs/:job_id", MUX_CORE_JOB_CANCEL, read_job, NULL },
  { "PUT", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_PUT,
    read_config_change, NULL },
  { "DELETE", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_REMOVE,
    read_config_change, NULL },
  { "GET", "/v1/config/:sort_name/:object_name", MUX_CORE_CONFIG_GET,
    read_config_object, NULL },
  { "GET", "/v1/config/:sort_name", MUX_CORE_CONFIG_LIST, read_config_list,
    NULL },
  { "POST", "/v1/config/:sort_name/:object_name/revert", MUX_CORE_CONFIG_REVERT,
    read_config_change, NULL },
  { "GET", "/v1/history", MUX_CORE_CONFIG_HISTORY, read_history, NULL },
  { "GET", "/v1/status", MUX_CORE_STATUS, NULL, NULL },
  { "GET", "/v1/workers", MUX_CORE_WORKERS, NULL, NULL },
  { "GET", "/v1/risk", MUX_CORE_RISK, NULL, NULL },
  { "POST", "/v1/workers/:worker_name/drain", MUX_CORE_DRAIN, read_drain,
    NULL },
  { "POST", "/v1/workers/:worker_name/undrain", MUX_CORE_DRAIN, read_undrain,
    NULL },
  { "GET", "/metrics", MUX_CORE_STATUS, NULL, mux_respond_metrics },
  { "GET", "/healthz", MUX_CORE_STATUS, NULL, mux_respond_healthz },
  { "GET", "/readyz", MUX_CORE_STATUS, NULL, mux_respond_readyz },
};

const MuxRoute *
mux_routes (uint32_t *count)
{
  *count = sizeof routes / sizeof routes[0];
  return routes;
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
