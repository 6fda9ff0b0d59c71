#include "body.h"
#include "render.h"
#include "verb.h"

#include <inttypes.h>
#include <orcania.h>
#include <string.h>

#define KEY_HEADER "Idempotency-Key"
#define GIVE_UP_HEADER "Cuminmux-Give-Up-Ms"
#define TICKET_HEADER "Cuminmux-Ticket"

static bool
idempotency_key (MuxCliCall *call, char out[MUX_KEY_LEN])
{
  const char *given = call->args.text[MUX_ARG_KEY];
  MuxId id;

  if (given != NULL)
    {
      snprintf (out, MUX_KEY_LEN, "%s", given);
      return true;
    }
  if (call->host->new_id (call->host, &id))
    {
      mux_id_format (id, out);
      return true;
    }
  fputs ("cuminmux: no random bytes from the system\n", call->host->err);
  return false;
}

static json_t *
json_of_result (const MuxCliResponse *response)
{
  json_t *json
      = json_pack ("{s:s, s:s}", "outcome", "done", "task", response->task);
  json_t *text = json_stringn (response->body, response->body_len);
  struct _o_datum coded = { 0, NULL };

  if (text != NULL)
    json_object_set_new (json, "body", text);
  else if (o_base64_encode_alloc ((const unsigned char *) response->body,
                                  response->body_len, &coded))
    {
      json_object_set_new (
          json, "body_base64",
          json_stringn ((const char *) coded.data, coded.size));
      o_free (coded.data);
    }
  return json;
}

static void
print_result (MuxCliCall *call, const MuxCliResponse *response)
{
  json_t *json;

  if (!call->json)
    {
      fwrite (response->body, 1, response->body_len, call->host->out);
      return;
    }
  json = json_of_result (response);
  mux_render_json (call->host->out, json);
  json_decref (json);
}

static void
print_recorded (MuxCliCall *call, const MuxCliResponse *response)
{
  json_t *json = mux_call_json (call, response);
  const char *id = json_string_value (json_object_get (json, "id"));

  if (call->json && json != NULL)
    mux_render_json (call->host->out, json);
  else if (id != NULL)
    fprintf (call->host->out, "%s\n", id);
  json_decref (json);
}

/* Sets the header that identifies the work, so that a retry returns the outcome
 * of the first attempt: the given ticket, or else the given or a random key. */
static bool
work_id_header (MuxCliCall *call,
                char key[MUX_KEY_LEN],
                MuxHttpPair *header,
                MuxHttpPair *retry_flag)
{
  const char *ticket = call->args.text[MUX_ARG_TICKET];

  if (ticket != NULL)
    {
      *header = (MuxHttpPair){ TICKET_HEADER, ticket };
      *retry_flag = (MuxHttpPair){ "ticket", ticket };
      return true;
    }
  *header = (MuxHttpPair){ KEY_HEADER, key };
  *retry_flag = (MuxHttpPair){ "key", key };
  return idempotency_key (call, key);
}

/* Reads the body, sends it with its key or ticket and prints the response. */
static int
submit (MuxCliCall *call,
        const MuxCliRequest *work,
        void (*print) (MuxCliCall *, const MuxCliResponse *))
{
  MuxCliRequest http = *work;
  char key[MUX_KEY_LEN];
  MuxHttpPair retry_flag;
  MuxCliResponse response;
  MuxBytes body;
  int code;

  if (!work_id_header (call, key, &http.header[0], &retry_flag))
    return MUX_EXIT_LATER;
  if (!mux_body_read (call, &body))
    return MUX_EXIT_USAGE;
  http.method = "POST";
  http.body = body.bytes;
  http.body_len = body.len;
  http.write = true;
  http.repeatable = true;
  code = mux_cli_exchange (call->host, &call->servers, &http, &response);
  if (code == MUX_EXIT_OK)
    print (call, &response);
  else
    mux_call_print_failure (call, code, &response, retry_flag);
  mux_cli_response_free (&response);
  mux_bytes_deinit (&body);
  return code;
}

int
mux_verb_request (MuxCliCall *call)
{
  int64_t give_up_ms = call->args.number[MUX_ARG_GIVE_UP_MS];
  char give_up[24];
  MuxCliRequest http
      = { .header = { { NULL, NULL }, { GIVE_UP_HEADER, give_up } },
          .timeout_ms = call->timeout_ms + (uint32_t) give_up_ms };

  if (call->args.text[MUX_ARG_KEY] != NULL
      && call->args.text[MUX_ARG_TICKET] != NULL)
    {
      fputs ("cuminmux: --key, --ticket: give one of them\n", call->host->err);
      return MUX_EXIT_USAGE;
    }
  snprintf (give_up, sizeof give_up, "%" PRId64, give_up_ms);
  snprintf (http.path, sizeof http.path, "/v1/request/%s",
            call->args.text[MUX_ARG_NAME]);
  return submit (call, &http, print_result);
}

int
mux_verb_job_submit (MuxCliCall *call)
{
  char tasks[24];
  MuxCliRequest http = { .path = "/v1/jobs",
                         .query = { { "class", call->args.text[MUX_ARG_NAME] },
                                    { "tasks", tasks } },
                         .timeout_ms = call->timeout_ms };

  snprintf (tasks, sizeof tasks, "%" PRId64, call->args.number[MUX_ARG_TASKS]);
  return submit (call, &http, print_recorded);
}

static void
print_job (MuxCliCall *call, const json_t *job)
{
  static const MuxColumn columns[] = { { "TASK", "index" },
                                       { "STATE", "state" },
                                       { "WORKER", "worker" },
                                       { "ATTEMPT", "attempt" },
                                       { NULL, NULL } };

  if (call->json)
    {
      mux_render_json (call->host->out, job);
      return;
    }
  mux_render_fields (call->host->out, job);
  fputc ('\n', call->host->out);
  mux_render_table (call->host->out, json_object_get (job, "tasks"), columns);
}

static void
job_path (const MuxCliCall *call, char *out, size_t cap)
{
  snprintf (out, cap, "/v1/jobs/%s", call->args.text[MUX_ARG_JOB]);
}

static int
read_job (MuxCliCall *call, MuxHttpPair query, uint32_t timeout_ms)
{
  char path[64];
  json_t *job;
  int code;

  job_path (call, path, sizeof path);
  code = mux_call_read (call, path, query, timeout_ms, &job);
  if (code == MUX_EXIT_OK)
    print_job (call, job);
  json_decref (job);
  return code;
}

int
mux_verb_job_show (MuxCliCall *call)
{
  return read_job (call, (MuxHttpPair){ NULL, NULL }, call->timeout_ms);
}

int
mux_verb_job_wait (MuxCliCall *call)
{
  int64_t wait_ms = call->args.number[MUX_ARG_WAIT_MS];
  char text[24];

  snprintf (text, sizeof text, "%" PRId64, wait_ms);
  return read_job (call, (MuxHttpPair){ "wait_ms", text },
                   call->timeout_ms + (uint32_t) wait_ms);
}

int
mux_verb_job_cancel (MuxCliCall *call)
{
  /* Cancelling is idempotent. */
  MuxCliRequest http = { .method = "DELETE",
                         .timeout_ms = call->timeout_ms,
                         .write = true,
                         .repeatable = true };
  MuxCliResponse response;
  json_t *job;
  int code;

  job_path (call, http.path, sizeof http.path);
  code = mux_cli_exchange (call->host, &call->servers, &http, &response);
  if (code != MUX_EXIT_OK)
    mux_call_print_failure (call, code, &response, (MuxHttpPair){ NULL, NULL });
  else if ((job = mux_call_json (call, &response)) != NULL)
    {
      print_job (call, job);
      json_decref (job);
    }
  mux_cli_response_free (&response);
  return code;
}
