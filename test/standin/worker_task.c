#include "standin/worker_task.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Larger bodies are not parsed as JSON. */
#define JSON_BODY_MAX 65536
#define RUN_MS_LINE "run_ms="

static uint32_t
field (const json_t *json, const char *name, uint32_t fallback)
{
  const json_t *value = json_object_get (json, name);
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < 0 || n > UINT32_MAX)
    return fallback;
  return (uint32_t) n;
}

static void
read_json (StandinTask *task, uint32_t *run_ms)
{
  json_t *json = json_loadb (task->body->bytes, task->body->len, 0, NULL);
  const json_t *use = json_object_get (json, "use");

  *run_ms = field (json, "run_ms", *run_ms);
  task->will_use.cpu_milli = field (use, "cpu_milli", task->size.cpu_milli);
  task->will_use.mem_mib = field (use, "mem_mib", task->size.mem_mib);
  json_decref (json);
}

static void
read_body (StandinTask *task, uint32_t *run_ms)
{
  const char *text = task->body->bytes;

  if (task->body->len <= JSON_BODY_MAX && text[0] == '{')
    read_json (task, run_ms);
  else if (strncmp (text, RUN_MS_LINE, strlen (RUN_MS_LINE)) == 0)
    *run_ms = (uint32_t) strtoul (text + strlen (RUN_MS_LINE), NULL, 10);
}

StandinTask *
standin_worker_task_new (const MuxWorkerCall *call,
                         int64_t now_ms,
                         uint32_t run_ms)
{
  StandinTask *task = calloc (1, sizeof *task);

  if (task == NULL)
    return NULL;
  task->id = call->task;
  task->state = MUX_TASK_RUNNING;
  mux_name_copy (task->class_name, call->class_name);
  mux_name_copy (task->home, call->home);
  task->kind = call->kind;
  task->size = call->size;
  task->size.slots = 1;
  task->will_use = task->size;
  task->started_ms = now_ms;
  task->usage_ms = STANDIN_WORKER_NEVER;
  task->body
      = call->body != NULL ? mux_blob_ref (call->body) : mux_blob_new (NULL, 0);
  if (task->body == NULL)
    {
      free (task);
      return NULL;
    }
  read_body (task, &run_ms);
  task->ends_ms = call->kind == MUX_KIND_LONG_RUNNING ? STANDIN_WORKER_NEVER
                                                      : now_ms + run_ms;
  return task;
}

void
standin_worker_task_free (StandinTask *task)
{
  if (task == NULL)
    return;
  mux_blob_unref (task->body);
  mux_blob_unref (task->answer);
  free (task);
}

MuxBlob *
standin_worker_task_answer (const StandinTask *task, const char *word)
{
  size_t head_len = strlen (word) + 1 + MUX_ID_HEX_LEN;
  char id[MUX_ID_HEX_LEN];
  char *bytes = malloc (head_len + task->body->len + 1);
  MuxBlob *answer;

  if (bytes == NULL)
    return NULL;
  mux_id_format (task->id, id);
  sprintf (bytes, "%s:%s:", word, id);
  memcpy (bytes + head_len, task->body->bytes, task->body->len);
  answer = mux_blob_new (bytes, head_len + task->body->len);
  free (bytes);
  return answer;
}

uint32_t
standin_worker_task_ran_ms (const StandinTask *task, int64_t now_ms)
{
  if (task->state == MUX_TASK_FORGOTTEN)
    return 0;
  if (task->state != MUX_TASK_RUNNING)
    now_ms = task->ended_ms;
  return (uint32_t) (now_ms - task->started_ms);
}
