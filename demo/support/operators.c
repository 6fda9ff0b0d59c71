#include "demo/support/operators.h"

#include "demo/support/callers.h"
#include "demo/support/http.h"
#include "support/random.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TRY_MS 4000
#define CHANGE_TRIES 5
#define CHANGE_PAUSE_MS 250
#define LOOK_PAUSE_MS 40
#define TARGET_MS 100
#define TARGET_SPREAD_MS 1000

struct MuxOperators
{
  MuxOperatorsOptions options;
  pthread_t thread[MUX_OPERATORS + 1]; /* the last one watches */
  uint32_t thread_count;
  atomic_bool stopping;
  atomic_uint accepted;
  atomic_uint next;
  atomic_uint begun; /* operators, which gives each its own choices */
};

static const char *
any_daemon (const MuxCluster *cluster, MuxRandom *random)
{
  return cluster->daemon[mux_random_below (random, cluster->daemon_count)].addr;
}

static json_t *
get (MuxHttp *http, const char *addr, const char *path)
{
  MuxHttpAsk ask = { .method = "GET",
                     .addr = addr,
                     .path = path,
                     .timeout_ms = TRY_MS,
                     .once = true };
  MuxHttpReply reply;
  json_t *json = NULL;

  if (!mux_http_call (http, &ask, &reply, NULL))
    return NULL;
  if (reply.status == 200)
    json = json_loadb (reply.body, reply.body_len, 0, NULL);
  mux_http_reply_clear (&reply);
  return json;
}

typedef struct
{
  char path[128];
  char who[MUX_NAME_LEN];
  char change[MUX_ID_HEX_LEN];
  char value[512];
  int64_t expect;
} Change;

/* Return: the outcome told; @revision is set when it is "done". */
static void
put (MuxHttp *http,
     const Change *change,
     const char *addr,
     char outcome[16],
     int64_t *revision)
{
  char id[MUX_ID_HEX_LEN + 32];
  char who[MUX_NAME_LEN + 32];
  const char *headers[] = { "Content-Type: application/json", id, who, NULL };
  MuxHttpAsk ask = { .method = "PUT",
                     .addr = addr,
                     .path = change->path,
                     .headers = headers,
                     .body = change->value,
                     .body_len = strlen (change->value),
                     .timeout_ms = TRY_MS,
                     .once = true };
  MuxHttpReply reply;
  json_t *json;

  snprintf (id, sizeof id, "Cuminmux-Change: %s", change->change);
  snprintf (who, sizeof who, "Cuminmux-Who: %s", change->who);
  *revision = 0;
  strcpy (outcome, "none");
  if (!mux_http_call (http, &ask, &reply, NULL))
    return;
  json = json_loadb (reply.body, reply.body_len, 0, NULL);
  if (reply.status == 200)
    {
      strcpy (outcome, "done");
      *revision = json_integer_value (json_object_get (json, "revision"));
    }
  else if (strcmp (reply.outcome, "not_run") == 0)
    strcpy (outcome, "not_run");
  else
    strcpy (outcome, "unknown");
  json_decref (json);
  mux_http_reply_clear (&reply);
}

static void
fill (MuxOperators *operators, MuxRandom *random, Change *change)
{
  uint32_t number = atomic_fetch_add (&operators->next, 1);

  snprintf (change->path, sizeof change->path,
            "/v1/config/class/%s?expect=%lld", operators->options.class_name,
            (long long) change->expect);
  snprintf (change->who, sizeof change->who, "op-%u", number);
  snprintf (change->change, sizeof change->change, "%016llx%016llx",
            (unsigned long long) mux_random_next (random),
            (unsigned long long) number + 1);
  snprintf (change->value, sizeof change->value,
            "{\"product\":\"hajar-skies\",\"kind\":\"service\",\"idempotent\":"
            "true,\"start_within_ms\":%u,\"start_share_ppm\":990000,\"size\":"
            "{\"cpu_milli\":1000,\"mem_mib\":1024,\"accels\":0},"
            "\"run_ms\":40}",
            TARGET_MS + mux_random_below (random, TARGET_SPREAD_MS));
}

/* The same change id through other daemons while its fate is open. */
static void
make_change (MuxOperators *operators, MuxHttp *http, MuxRandom *random)
{
  const MuxOperatorsOptions *options = &operators->options;
  char path[96];
  char outcome[16];
  int64_t revision;
  Change change;
  json_t *seen;

  snprintf (path, sizeof path, "/v1/config/class/%s", options->class_name);
  seen = get (http, any_daemon (options->cluster, random), path);
  if (seen == NULL)
    return;
  change.expect = json_integer_value (json_object_get (seen, "revision"));
  json_decref (seen);
  fill (operators, random, &change);
  for (uint32_t i = 0; i < CHANGE_TRIES; i++)
    {
      put (http, &change, any_daemon (options->cluster, random), outcome,
           &revision);
      mux_jsonl_write (options->log,
                       json_pack ("{s:s, s:s, s:I, s:s, s:I}", "event",
                                  "change", "who", change.who, "expect",
                                  (json_int_t) change.expect, "outcome",
                                  outcome, "revision", (json_int_t) revision));
      if (strcmp (outcome, "done") == 0)
        atomic_fetch_add (&operators->accepted, 1);
      if (strcmp (outcome, "done") == 0 || strcmp (outcome, "not_run") == 0)
        return;
    }
}

static void *
operator_main (void *arg)
{
  MuxOperators *operators = arg;
  MuxHttp *http = mux_http_new ();
  MuxRandom random = { operators->options.seed * 1000
                       + atomic_fetch_add (&operators->begun, 1) };

  while (http != NULL && !atomic_load (&operators->stopping))
    {
      make_change (operators, http, &random);
      mux_pause_ms (mux_random_below (&random, CHANGE_PAUSE_MS));
    }
  mux_http_free (http);
  return NULL;
}

static int64_t
look (const MuxOperatorsOptions *options, MuxHttp *http, uint32_t index)
{
  const MuxMember *daemon = &options->cluster->daemon[index];
  uint32_t life = atomic_load (&daemon->lives);
  json_t *status = get (http, daemon->addr, "/v1/status");
  int64_t revision;

  /* Which life answered can't be told if it changed meanwhile. */
  if (status == NULL || life != atomic_load (&daemon->lives))
    {
      json_decref (status);
      return -1;
    }
  revision = json_integer_value (json_object_get (status, "revision"));
  mux_jsonl_write (options->log,
                   json_pack ("{s:s, s:s, s:I, s:I}", "event", "shown",
                              "daemon", daemon->name, "life", (json_int_t) life,
                              "revision", (json_int_t) revision));
  json_decref (status);
  return revision;
}

static void *
watcher_main (void *arg)
{
  MuxOperators *operators = arg;
  MuxHttp *http = mux_http_new ();

  for (uint32_t i = 0; http != NULL && !atomic_load (&operators->stopping); i++)
    {
      look (&operators->options, http,
            i % operators->options.cluster->daemon_count);
      mux_pause_ms (LOOK_PAUSE_MS);
    }
  mux_http_free (http);
  return NULL;
}

MuxOperators *
mux_operators_start (const MuxOperatorsOptions *options)
{
  MuxOperators *operators = calloc (1, sizeof *operators);

  if (operators == NULL)
    abort ();
  operators->options = *options;
  for (; operators->thread_count <= MUX_OPERATORS; operators->thread_count++)
    if (pthread_create (&operators->thread[operators->thread_count], NULL,
                        operators->thread_count < MUX_OPERATORS ? operator_main
                                                                : watcher_main,
                        operators)
        != 0)
      abort ();
  return operators;
}

uint32_t
mux_operators_stop (MuxOperators *operators)
{
  uint32_t accepted;

  atomic_store (&operators->stopping, true);
  for (uint32_t i = 0; i < operators->thread_count; i++)
    pthread_join (operators->thread[i], NULL);
  accepted = atomic_load (&operators->accepted);
  free (operators);
  return accepted;
}

static void
log_kept (const MuxOperatorsOptions *options,
          const MuxMember *daemon,
          const json_t *row)
{
  char object[2 * MUX_NAME_LEN];
  const char *sort = json_string_value (json_object_get (row, "sort"));
  const char *name = json_string_value (json_object_get (row, "name"));

  snprintf (object, sizeof object, "%s/%s", sort == NULL ? "" : sort,
            name == NULL ? "" : name);
  mux_jsonl_write (options->log,
                   json_pack ("{s:s, s:s, s:O, s:s, s:O}", "event", "kept",
                              "daemon", daemon->name, "revision",
                              json_object_get (row, "revision"), "object",
                              object, "who", json_object_get (row, "who")));
}

/* All pages of the history at one daemon.  A page that can't be read is asked
 * for again; what is still missing at the end counts as lost. */
static void
log_history (const MuxOperatorsOptions *options,
             MuxHttp *http,
             const MuxMember *daemon,
             int64_t until_ms)
{
  int64_t after = 0;
  bool more = true;

  while (more)
    {
      char path[64];
      json_t *page;
      json_t *row;
      size_t i;

      snprintf (path, sizeof path, "/v1/history?after=%lld", (long long) after);
      page = get (http, daemon->addr, path);
      if (page == NULL && mux_mono_ms () < until_ms)
        {
          mux_pause_ms (LOOK_PAUSE_MS);
          continue;
        }
      more = json_is_true (json_object_get (page, "more"));
      json_array_foreach (json_object_get (page, "changes"), i, row)
      {
        log_kept (options, daemon, row);
        after = json_integer_value (json_object_get (row, "revision"));
      }
      json_decref (page);
    }
}

void
mux_operators_judge (const MuxOperatorsOptions *options, uint32_t timeout_ms)
{
  int64_t until_ms = mux_mono_ms () + timeout_ms;
  MuxHttp *http = mux_http_new ();
  bool agreed = false;

  while (http != NULL && !agreed && mux_mono_ms () < until_ms)
    {
      int64_t first = look (options, http, 0);

      agreed = first >= 0;
      for (uint32_t i = 1; i < options->cluster->daemon_count; i++)
        if (look (options, http, i) != first)
          agreed = false;
      mux_pause_ms (LOOK_PAUSE_MS);
    }
  for (uint32_t i = 0; http != NULL && i < options->cluster->daemon_count; i++)
    log_history (options, http, &options->cluster->daemon[i], until_ms);
  mux_http_free (http);
}
