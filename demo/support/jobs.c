#include "demo/support/jobs.h"

#include "demo/support/callers.h"
#include "demo/support/hash.h"

#include <stdio.h>
#include <string.h>

#define TRY_MS 5000
#define WAIT_MS 2000
#define PAUSE_MS 100

static bool
keep_id (MuxTestJob *job, const MuxHttpReply *reply)
{
  json_t *json = json_loadb (reply->body, reply->body_len, 0, NULL);
  const char *id = json_string_value (json_object_get (json, "id"));
  bool ok = reply->status == 202 && id != NULL && strlen (id) < sizeof job->id;

  if (ok)
    memcpy (job->id, id, strlen (id) + 1);
  json_decref (json);
  return ok;
}

static bool
submit_at (MuxHttp *http, MuxTestJob *job, const char *addr, MuxError *err)
{
  char path[160];
  char key[MUX_KEY_LEN + 32];
  const char *headers[] = { key, NULL };
  MuxHttpAsk ask = { .method = "POST",
                     .addr = addr,
                     .path = path,
                     .headers = headers,
                     .body = job->key,
                     .body_len = strlen (job->key),
                     .timeout_ms = TRY_MS };
  MuxHttpReply reply;
  bool ok;

  snprintf (path, sizeof path, "/v1/jobs?class=%s&tasks=%u", job->class_name,
            job->tasks);
  snprintf (key, sizeof key, "Idempotency-Key: %s", job->key);
  if (!mux_http_call (http, &ask, &reply, err))
    return false;
  ok = keep_id (job, &reply);
  if (!ok)
    mux_error_set (err, MUX_ERROR_UNAVAILABLE, "job %s: status %u: %.80s",
                   job->key, reply.status, reply.body);
  mux_http_reply_clear (&reply);
  return ok;
}

bool
mux_job_submit (MuxHttp *http,
                const MuxCluster *cluster,
                MuxTestJob *job,
                MuxJsonl *log,
                uint32_t timeout_ms,
                MuxError *err)
{
  int64_t until = mux_mono_ms () + timeout_ms;
  char hash[MUX_HASH_TEXT_LEN];

  for (uint32_t i = 0; !submit_at (
           http, job, cluster->daemon[i % cluster->daemon_count].addr, err);
       i++)
    {
      if (mux_mono_ms () >= until)
        return false;
      mux_pause_ms (PAUSE_MS);
    }
  if (err != NULL)
    err->code = MUX_ERROR_NONE;
  mux_hash_text (job->key, strlen (job->key), hash);
  mux_jsonl_write (log,
                   json_pack ("{s:s, s:s, s:s, s:I, s:s}", "event", "job",
                              "job", job->id, "class", job->class_name, "tasks",
                              (json_int_t) job->tasks, "body_hash", hash));
  return true;
}

static bool
has_ended (const MuxTestJob *job)
{
  return strcmp (job->state, "done") == 0 || strcmp (job->state, "failed") == 0
         || strcmp (job->state, "cancelled") == 0;
}

static void
look (MuxHttp *http, MuxTestJob *job, const char *addr)
{
  char path[96];
  json_t *json;
  const char *state;

  snprintf (path, sizeof path, "/v1/jobs/%s?wait_ms=%d", job->id, WAIT_MS);
  json = mux_http_json (http, "GET", addr, path, NULL, NULL);
  state = json_string_value (json_object_get (json, "state"));
  if (state != NULL)
    snprintf (job->state, sizeof job->state, "%s", state);
  json_decref (json);
}

bool
mux_job_wait (MuxHttp *http,
              const MuxCluster *cluster,
              MuxTestJob *job,
              MuxJsonl *log,
              uint32_t timeout_ms)
{
  int64_t until = mux_mono_ms () + timeout_ms;

  for (uint32_t i = 0; !has_ended (job); i++)
    {
      look (http, job, cluster->daemon[i % cluster->daemon_count].addr);
      if (has_ended (job))
        break;
      if (mux_mono_ms () >= until)
        return false;
      mux_pause_ms (PAUSE_MS);
    }
  mux_jsonl_write (log, json_pack ("{s:s, s:s, s:s}", "event", "job_end", "job",
                                   job->id, "state", job->state));
  return true;
}
