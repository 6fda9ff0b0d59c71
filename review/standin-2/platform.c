/*
 * Stand-in for the users' platform: the metadata store, the policy service
 * and the workers of one service, on loopback addresses.  It does what
 * PROTOCOL.md says and no more; its only disturbances are those that its
 * options ask for.
 *
 *   platform DIR WORKERS [NAME=VALUE...]
 *
 * writes the store's address to DIR/store, the policy service's to
 * DIR/advisor and one line for each event to DIR/events.  A configuration that
 * the operator leaves as DIR/new-config is stored, and the file removed.
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WORKERS_MAX 64
#define PAGE_ROWS 500
#define PAGE_BYTES 1000000
#define TX_MS 4
#define HEARTBEAT_MS 1500
#define ENTRY_MS (3 * HEARTBEAT_MS)
#define HOLD_MAX_MS 10000
#define STOP_MS 100
#define ENDS_MAX 500
#define SAVED_MAX 512

/* ---- options ---- */
static long work_ms = 1000;       /* of each task */
static long cpu_milli = 32000;    /* of each worker */
static long memory_mb = 131072;   /* of each worker */
static long crash_from_ms = 0;    /* first crash; 0: no worker crashes */
static long crash_until_ms = 0;   /* no crash from then on */
static long crash_every_ms = 2000;
static long crash_down_ms = 2000; /* until the next worker is there */
static long max_attempts = 4;     /* of the queue */
static long fail_runs = 0;        /* so many runs of a task fail first */
static long ticket_chars = 0;     /* length of a ticket; 0: none is needed */
static long save_chars = 0;       /* length of a checkpoint; 0: none are made */
static long save_every_ms = 2000; /* of work */
static long lost_percent = 0;     /* of the transactions: done, not answered */
static long late_percent = 0;     /* done 1 to 3 s later, not answered */
static long faults_from_ms = 0;
static long faults_until_ms = 0;
static long seed = 1;

static const struct
{
  const char *name;
  long *value;
} options[] = {
  { "work_ms", &work_ms },
  { "cpu_milli", &cpu_milli },
  { "memory_mb", &memory_mb },
  { "crash_from_ms", &crash_from_ms },
  { "crash_until_ms", &crash_until_ms },
  { "crash_every_ms", &crash_every_ms },
  { "crash_down_ms", &crash_down_ms },
  { "max_attempts", &max_attempts },
  { "fail_runs", &fail_runs },
  { "ticket_chars", &ticket_chars },
  { "save_chars", &save_chars },
  { "save_every_ms", &save_every_ms },
  { "lost_percent", &lost_percent },
  { "late_percent", &late_percent },
  { "faults_from_ms", &faults_from_ms },
  { "faults_until_ms", &faults_until_ms },
  { "seed", &seed },
};

/* ---- common ---- */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static FILE *events;
static long began_ms;
static uint64_t random_state;

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
pause_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static void
note (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fprintf (events, "%ld ", now_ms () - began_ms);
  vfprintf (events, format, args);
  fputc ('\n', events);
  va_end (args);
}

static uint64_t
draw (uint64_t below)
{
  random_state ^= random_state >> 12;
  random_state ^= random_state << 25;
  random_state ^= random_state >> 27;
  return (random_state * UINT64_C (0x2545f4914f6cdd1d) >> 11) % below;
}

static struct timespec
deadline_after (long ms)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  t.tv_sec += ms / 1000;
  t.tv_nsec += ms % 1000 * 1000000;
  if (t.tv_nsec >= 1000000000)
    {
      t.tv_sec++;
      t.tv_nsec -= 1000000000;
    }
  return t;
}

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static long
number_of (const json_t *json, const char *name)
{
  return (long) json_number_value (json_object_get (json, name));
}

/* ---- HTTP ---- */
typedef struct
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  json_t *body;
} Request;

/* @status: 0: the connection is closed without an answer */
typedef struct
{
  unsigned status;
  json_t *json;
} Reply;

typedef Reply (*Serve) (void *context, const Request *request);

typedef struct
{
  struct MHD_Daemon *daemon;
  Serve serve;
  void *context;
  char addr[32];
  uint16_t port;
} Server;

typedef struct
{
  char *bytes;
  size_t len;
} Body;

static const char *
query (const Request *request, const char *name)
{
  const char *value = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : "";
}

static enum MHD_Result
on_request (void *cls,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **context)
{
  Server *server = cls;
  Body *body = *context;
  Request request = { connection, method, url, NULL };
  Reply reply;
  struct MHD_Response *response;
  enum MHD_Result result;
  char *text;

  (void) version;
  if (body == NULL)
    {
      *context = calloc (1, sizeof (Body));
      return MHD_YES;
    }
  if (*size > 0)
    {
      body->bytes = realloc (body->bytes, body->len + *size);
      memcpy (body->bytes + body->len, data, *size);
      body->len += *size;
      *size = 0;
      return MHD_YES;
    }
  if (body->len > 0)
    request.body = json_loadb (body->bytes, body->len, 0, NULL);
  reply = server->serve (server->context, &request);
  json_decref (request.body);
  if (reply.status == 0)
    return MHD_NO;
  text = reply.json != NULL ? json_dumps (reply.json, JSON_COMPACT)
                            : strdup ("{}");
  json_decref (reply.json);
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (connection, reply.status, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_done (void *cls,
         struct MHD_Connection *connection,
         void **context,
         enum MHD_RequestTerminationCode code)
{
  Body *body = *context;

  (void) cls;
  (void) connection;
  (void) code;
  if (body != NULL)
    free (body->bytes);
  free (body);
  *context = NULL;
}

/* @port: 0: any */
static void
server_start (Server *server, uint16_t port, Serve serve, void *context)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr = { htonl (INADDR_LOOPBACK) } };
  const union MHD_DaemonInfo *info;

  server->serve = serve;
  server->context = context;
  server->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &at,
      MHD_OPTION_NOTIFY_COMPLETED, on_done, NULL,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t) 256 * 1024,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      fprintf (stderr, "platform: can't listen\n");
      exit (2);
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  server->port = info->port;
  snprintf (server->addr, sizeof server->addr, "127.0.0.1:%u",
            (unsigned) server->port);
}

/* ---- the store ---- */
typedef struct Row Row;
struct Row
{
  char *table;
  char *part;
  char *key;
  char *value; /* NULL: removed */
  uint64_t version;
  Row *next;
};

static Row *rows;
static uint64_t row_version;

static Row *
row_find (const char *table, const char *part, const char *key)
{
  for (Row *row = rows; row != NULL; row = row->next)
    if (strcmp (row->key, key) == 0 && strcmp (row->table, table) == 0
        && strcmp (row->part, part) == 0)
      return row;
  return NULL;
}

static void
row_write (const char *table, const char *part, const char *key, const char *value)
{
  Row *row = row_find (table, part, key);

  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      row->table = strdup (table);
      row->part = strdup (part);
      row->key = strdup (key);
      row->next = rows;
      rows = row;
    }
  free (row->value);
  row->value = value != NULL ? strdup (value) : NULL;
  row->version = row_version;
}

static json_t *
row_json (const Row *row)
{
  json_t *json = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
                            row->part, "key", row->key, "row_version",
                            (json_int_t) row->version);

  if (row->value != NULL)
    json_object_set_new (json, "value", json_string (row->value));
  else
    json_object_set_new (json, "deleted", json_true ());
  return json;
}

static char *
base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = malloc (len * 4 / 3 + 8);
  size_t n = 0;

  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t group = 0;

      for (size_t j = 0; j < 3; j++)
        group = group << 8 | (i + j < len ? (uint8_t) text[i + j] : 0);
      for (size_t j = 0; j < 4; j++)
        out[n++] = i + j <= len ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  out[n] = 0;
  return out;
}

static void
put_text (const char *table, const char *key, json_t *json)
{
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;
  char *value = text != NULL ? base64 (text) : NULL;

  row_version++;
  row_write (table, "", key, value);
  pthread_cond_broadcast (&changed);
  free (value);
  free (text);
  json_decref (json);
}

static json_t *
store_json (json_t *list)
{
  return json_pack ("{s:o, s:I, s:I}", "rows", list, "row_version",
                    (json_int_t) row_version, "now_ms", (json_int_t) now_ms ());
}

static Row *
row_named (const json_t *json)
{
  return row_find (text_of (json, "table"), text_of (json, "part"),
                   text_of (json, "key"));
}

static Reply
store_transact (const json_t *body)
{
  const json_t *expected = json_object_get (body, "precondition");
  json_t *list = json_array ();
  const json_t *entry;
  bool holds = true;
  size_t i;

  json_array_foreach (expected, i, entry)
  {
    const Row *row = row_named (entry);
    uint64_t version = row != NULL && row->value != NULL ? row->version : 0;

    holds = holds && version == (uint64_t) number_of (entry, "row_version");
    if (row != NULL && row->value != NULL)
      json_array_append_new (list, row_json (row));
  }
  if (!holds)
    return (Reply){ 412, store_json (list) };
  json_decref (list);
  row_version++;
  json_array_foreach (json_object_get (body, "writes"), i, entry)
      row_write (text_of (entry, "table"), text_of (entry, "part"),
                 text_of (entry, "key"), text_of (entry, "value"));
  json_array_foreach (json_object_get (body, "remove"), i, entry)
  {
    const Row *row = row_named (entry);

    if (row != NULL && row->value != NULL)
      row_write (row->table, row->part, row->key, NULL);
  }
  pthread_cond_broadcast (&changed);
  return (Reply){ 200, store_json (json_array ()) };
}

typedef struct Late Late;
struct Late
{
  json_t *body;
  long at_ms;
  Late *next;
};

static Late *late;

static Reply
store_transact_or_lose (const json_t *body)
{
  long at = now_ms () - began_ms;
  uint64_t fate = draw (100);

  if (at < faults_from_ms || at >= faults_until_ms)
    return store_transact (body);
  if (fate < (uint64_t) lost_percent)
    {
      json_decref (store_transact (body).json);
      return (Reply){ 0, NULL };
    }
  if (fate < (uint64_t) (lost_percent + late_percent))
    {
      Late *entry = calloc (1, sizeof *entry);

      entry->body = json_deep_copy (body);
      entry->at_ms = now_ms () + 1000 + (long) draw (2000);
      entry->next = late;
      late = entry;
      return (Reply){ 0, NULL };
    }
  return store_transact (body);
}

static void
store_tick (void)
{
  for (Late **at = &late; *at != NULL;)
    {
      Late *entry = *at;

      if (now_ms () < entry->at_ms)
        {
          at = &entry->next;
          continue;
        }
      *at = entry->next;
      json_decref (store_transact (entry->body).json);
      json_decref (entry->body);
      free (entry);
    }
}

static int
by_key (const void *a, const void *b)
{
  return strcmp ((*(const Row *const *) a)->key,
                 (*(const Row *const *) b)->key);
}

static int
by_version (const void *a, const void *b)
{
  uint64_t x = (*(const Row *const *) a)->version;
  uint64_t y = (*(const Row *const *) b)->version;

  return x < y ? -1 : x > y;
}

static size_t
count_rows (void)
{
  size_t n = 0;

  for (const Row *row = rows; row != NULL; row = row->next)
    n++;
  return n;
}

static Reply
store_get (const Request *request)
{
  const Row **found = calloc (count_rows () + 1, sizeof *found);
  const char *from = query (request, "from");
  const char *to = query (request, "to");
  long limit = atol (query (request, "limit"));
  json_t *list = json_array ();
  size_t count = 0;
  size_t bytes = 0;
  size_t i = 0;
  Reply reply = { 200, NULL };

  if (limit <= 0 || limit > PAGE_ROWS)
    limit = PAGE_ROWS;
  for (const Row *row = rows; row != NULL; row = row->next)
    if (row->value != NULL && strcmp (row->table, query (request, "table")) == 0
        && strcmp (row->part, query (request, "part")) == 0
        && strcmp (row->key, from) >= 0
        && (to[0] == 0 || strcmp (row->key, to) < 0))
      found[count++] = row;
  qsort (found, count, sizeof *found, by_key);
  for (; i < count && (long) i < limit; i++)
    {
      bytes += strlen (found[i]->value) + 100;
      if (i > 0 && bytes > PAGE_BYTES)
        break;
      json_array_append_new (list, row_json (found[i]));
    }
  reply.json = store_json (list);
  json_object_set_new (reply.json, "has_more", json_boolean (i < count));
  free (found);
  return reply;
}

static Reply
store_feed (const Request *request)
{
  uint64_t after = strtoull (query (request, "after"), NULL, 10);
  struct timespec until = deadline_after (atol (query (request, "wait_ms")));
  int rc = 0;

  for (;;)
    {
      const Row **found = calloc (count_rows () + 1, sizeof *found);
      json_t *list = json_array ();
      size_t count = 0;

      for (const Row *row = rows; row != NULL; row = row->next)
        if (row->version > after
            && strcmp (row->table, query (request, "table")) == 0)
          found[count++] = row;
      qsort (found, count, sizeof *found, by_version);
      for (size_t i = 0; i < count; i++)
        json_array_append_new (list, row_json (found[i]));
      free (found);
      if (count > 0 || rc != 0)
        return (Reply){ 200, store_json (list) };
      json_decref (list);
      rc = pthread_cond_timedwait (&changed, &lock, &until);
    }
}

static Reply
store_serve (void *context, const Request *request)
{
  Reply reply = { 404, NULL };

  (void) context;
  if (strcmp (request->path, "/-/rows-tx") == 0)
    pause_ms (TX_MS);
  pthread_mutex_lock (&lock);
  if (strcmp (request->path, "/-/rows-tx") == 0)
    reply = store_transact_or_lose (request->body);
  else if (strcmp (request->path, "/-/rows-get") == 0)
    reply = store_get (request);
  else if (strcmp (request->path, "/-/rows-feed") == 0)
    reply = store_feed (request);
  pthread_mutex_unlock (&lock);
  return reply;
}

/* ---- the policy service: approves every worker ---- */
#define DECISION_MS 6
#define VALIDITY_MS 2500
#define TICKET_MAX 512

typedef struct Ticket Ticket;
struct Ticket
{
  char step[96];
  char worker[32];
  char text[TICKET_MAX];
  long until_ms;
  Ticket *next;
};

static Ticket *tickets;

static const char *
issue (const char *step, const char *worker)
{
  Ticket *ticket = calloc (1, sizeof *ticket);

  snprintf (ticket->step, sizeof ticket->step, "%s", step);
  snprintf (ticket->worker, sizeof ticket->worker, "%s", worker);
  for (long i = 0; i < ticket_chars && i + 1 < TICKET_MAX; i++)
    ticket->text[i] = (char) ('a' + draw (26));
  ticket->until_ms = now_ms () + VALIDITY_MS;
  ticket->next = tickets;
  tickets = ticket;
  return ticket->text;
}

/* Whether the ticket is one for the task's step at this worker. */
static bool
ticket_is_valid (const char *task, const char *worker, const char *text)
{
  for (const Ticket *ticket = tickets; ticket != NULL; ticket = ticket->next)
    if (strncmp (task, ticket->step, strlen (ticket->step)) == 0
        && task[strlen (ticket->step)] == '.'
        && strcmp (ticket->worker, worker) == 0
        && strcmp (ticket->text, text) == 0)
      return now_ms () <= ticket->until_ms;
  return false;
}

static Reply
advisor_serve (void *context, const Request *request)
{
  json_t *list = json_array ();
  const json_t *id;
  size_t i;

  (void) context;
  pause_ms (DECISION_MS);
  pthread_mutex_lock (&lock);
  json_array_foreach (json_object_get (request->body, "workers"), i, id)
      json_array_append_new (
          list, json_pack ("[s, s]", json_string_value (id),
                           issue (text_of (request->body, "step"),
                                  json_string_value (id))));
  pthread_mutex_unlock (&lock);
  return (Reply){ 200, json_pack ("{s:o, s:i}", "approved", list, "validity_ms",
                                  VALIDITY_MS) };
}

/* ---- workers ---- */
typedef struct Run Run;
struct Run
{
  char task[96];
  long run;
  long start_ms;
  long stop_ms; /* 0: not stopped */
  long saves;   /* checkpoints made */
  char saved[SAVED_MAX];
  Run *next;
};

typedef struct End End;
struct End
{
  long number;
  char task[96];
  long run;
  const char *how;
  char saved[SAVED_MAX];
  End *next;
};

/* The highest run of a task that was stopped or ended here. */
typedef struct Past Past;
struct Past
{
  char task[96];
  long run;
  Past *next;
};

typedef struct
{
  uint32_t number;
  uint32_t life;
  char id[32];
  Server server;
  uint16_t port;
  long start_ms;
  long token;
  long lease_ms; /* on its clock */
  bool lapsed;   /* the lease, since it was last renewed */
  long last_end;
  long sequence;
  long heartbeat_ms;
  long back_ms; /* down until then; 0: up */
  long gone_ms; /* its entry is dropped then; 0: no entry is left over */
  char gone_id[32];
  Run *runs;
  End *ends;
  Past *past;
} Worker;

static Worker workers[WORKERS_MAX];
static uint32_t worker_count;

static long
clock_of (const Worker *worker)
{
  return 100000 * (long) (worker->number + 1) + now_ms () - worker->start_ms;
}

static Past *
past_of (Worker *worker, const char *task)
{
  for (Past *past = worker->past; past != NULL; past = past->next)
    if (strcmp (past->task, task) == 0)
      return past;
  return NULL;
}

static void
add_past (Worker *worker, const char *task, long run)
{
  Past *past = past_of (worker, task);

  if (past == NULL)
    {
      past = calloc (1, sizeof *past);
      snprintf (past->task, sizeof past->task, "%s", task);
      past->next = worker->past;
      worker->past = past;
    }
  if (run > past->run)
    past->run = run;
}

static void
heartbeat (Worker *worker)
{
  char rack[16];

  worker->heartbeat_ms = now_ms () + HEARTBEAT_MS;
  snprintf (rack, sizeof rack, "r1-%u", worker->number / 8);
  put_text (
      "servers", worker->id,
      json_pack (
          "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:I, s:I, s:i}, s:[s, s], "
          "s:I, s:I}",
          "service", "basket", "address", worker->server.addr, "zone",
          "nizwa-hall", "version", "v1", "slots", 8, "state", "ready",
          "cold_remaining_ms", 0, "capacity", "cpu", (json_int_t) cpu_milli,
          "memory_request_mb", (json_int_t) memory_mb, "gpu", 0, "labels", "a",
          rack, "clock_ms", (json_int_t) clock_of (worker), "sequence",
          (json_int_t) ++worker->sequence));
}

static void
end_run (Worker *worker, Run **at, const char *how)
{
  Run *run = *at;
  End *end = calloc (1, sizeof *end);
  End **last = &worker->ends;

  *at = run->next;
  end->number = ++worker->last_end;
  snprintf (end->task, sizeof end->task, "%s", run->task);
  end->run = run->run;
  end->how = how;
  snprintf (end->saved, sizeof end->saved, "%s", run->saved);
  while (*last != NULL)
    last = &(*last)->next;
  *last = end;
  add_past (worker, run->task, run->run);
  note ("end %s %s %ld %s", worker->id, run->task, run->run, how);
  free (run);
  pthread_cond_broadcast (&changed);
}

/* How often runs of a task have failed, at all workers. */
static Past *failed;

static const char *
outcome (const char *task)
{
  Past *past = failed;

  while (past != NULL && strcmp (past->task, task) != 0)
    past = past->next;
  if (past == NULL)
    {
      past = calloc (1, sizeof *past);
      snprintf (past->task, sizeof past->task, "%s", task);
      past->next = failed;
      failed = past;
    }
  return past->run++ < fail_runs ? "failed" : "done";
}

/* A checkpoint is the name of an object: the task, its run and a number, filled
 * up to the length asked for. */
static void
save (const Worker *worker, Run *run)
{
  long made = (now_ms () - run->start_ms) / save_every_ms;
  int len;

  if (save_chars == 0 || made <= run->saves)
    return;
  run->saves = made;
  len = snprintf (run->saved, sizeof run->saved, "%s/%ld/%ld/", run->task,
                  run->run, made);
  for (; len < save_chars && len + 1 < SAVED_MAX; len++)
    run->saved[len] = (char) ('a' + draw (26));
  run->saved[len] = 0;
  note ("saved %s %s %ld %s", worker->id, run->task, run->run, run->saved);
}

static void
note_lapse (Worker *worker)
{
  if (worker->lapsed || worker->lease_ms == 0
      || clock_of (worker) < worker->lease_ms)
    return;
  worker->lapsed = true;
  note ("lapse %s", worker->id);
}

static void
advance (Worker *worker)
{
  long now = now_ms ();

  note_lapse (worker);
  for (Run **at = &worker->runs; *at != NULL;)
    {
      Run *run = *at;

      save (worker, run);
      if (run->stop_ms != 0 && now >= run->stop_ms)
        end_run (worker, at, "stopped");
      else if (clock_of (worker) >= worker->lease_ms)
        end_run (worker, at, "lapsed");
      else if (run->stop_ms == 0 && now - run->start_ms >= work_ms)
        end_run (worker, at, outcome (run->task));
      else
        at = &run->next;
    }
}

static Reply
worker_reply (const Worker *worker, unsigned status, const char *reason)
{
  Reply reply = { status, json_pack ("{s:I}", "clock_ms",
                                     (json_int_t) clock_of (worker)) };

  if (reason != NULL)
    json_object_set_new (reply.json, "reason", json_string (reason));
  return reply;
}

static void
take_lease (Worker *worker, const json_t *body)
{
  long until = number_of (body, "deadline_ms");

  if (until > clock_of (worker) + HOLD_MAX_MS)
    until = clock_of (worker) + HOLD_MAX_MS;
  if (until > worker->lease_ms)
    {
      worker->lease_ms = until;
      worker->lapsed = false;
    }
}

static Run *
run_of (const Worker *worker, const char *task)
{
  for (Run *run = worker->runs; run != NULL; run = run->next)
    if (strcmp (run->task, task) == 0)
      return run;
  return NULL;
}

static Reply
worker_start (Worker *worker, const json_t *body)
{
  const char *task = text_of (body, "task");
  long number = number_of (body, "run");
  const Past *past = past_of (worker, task);
  Run *run = run_of (worker, task);

  if (number_of (body, "deadline_ms") <= clock_of (worker))
    return worker_reply (worker, 409, "late");
  take_lease (worker, body);
  if (run != NULL && run->run == number)
    return worker_reply (worker, 200, NULL);
  if (run != NULL || (past != NULL && number <= past->run))
    return worker_reply (worker, 409, "old");
  if (ticket_chars > 0
      && !ticket_is_valid (task, worker->id, text_of (body, "ticket")))
    {
      note ("refused %s %s %ld ticket of %zu characters", worker->id, task,
            number, strlen (text_of (body, "ticket")));
      return worker_reply (worker, 409, "ticket");
    }
  run = calloc (1, sizeof *run);
  snprintf (run->task, sizeof run->task, "%s", task);
  run->run = number;
  run->start_ms = now_ms ();
  run->next = worker->runs;
  worker->runs = run;
  note ("start %s %s %ld %s", worker->id, task, number,
        text_of (body, "checkpoint"));
  return worker_reply (worker, 200, NULL);
}

static Reply
worker_stop (Worker *worker, const json_t *body)
{
  Run *run = run_of (worker, text_of (body, "task"));

  add_past (worker, text_of (body, "task"), number_of (body, "run"));
  if (run != NULL && run->run <= number_of (body, "run") && run->stop_ms == 0)
    run->stop_ms = now_ms () + STOP_MS;
  return worker_reply (worker, 200, NULL);
}

static long
percent_of (const Run *run)
{
  long percent = (now_ms () - run->start_ms) * 100 / work_ms;

  return percent < 100 ? percent : 100;
}

static Reply
worker_hold (Worker *worker, const json_t *body, uint32_t life)
{
  long acked = number_of (body, "acked_through");
  struct timespec until = deadline_after (number_of (body, "wait_ms"));
  json_t *running = json_array ();
  json_t *finished = json_array ();
  long listed = 0;
  int rc = 0;
  Reply reply;

  take_lease (worker, body);
  while (worker->ends != NULL && worker->ends->number <= acked)
    {
      End *end = worker->ends;

      worker->ends = end->next;
      note ("acked %s %s %ld %s", worker->id, end->task, end->run, end->how);
      free (end);
    }
  while (worker->ends == NULL && rc == 0 && worker->life == life
         && number_of (body, "wait_ms") > 0)
    rc = pthread_cond_timedwait (&changed, &lock, &until);
  if (worker->life != life)
    {
      json_decref (running);
      json_decref (finished);
      return (Reply){ 0, NULL };
    }
  for (const Run *run = worker->runs; run != NULL; run = run->next)
    json_array_append_new (running,
                           json_pack ("[s, I, s, I, I]", run->task,
                                      (json_int_t) run->run, run->saved,
                                      (json_int_t) percent_of (run),
                                      (json_int_t) 0));
  for (const End *end = worker->ends; end != NULL && listed < ENDS_MAX;
       end = end->next, listed++)
    json_array_append_new (finished,
                           json_pack ("[I, s, I, s, s]",
                                      (json_int_t) end->number, end->task,
                                      (json_int_t) end->run, end->how,
                                      end->saved));
  reply = worker_reply (worker, 200, NULL);
  json_object_set_new (reply.json, "running", running);
  json_object_set_new (reply.json, "finished", finished);
  return reply;
}

static Reply
worker_serve (void *context, const Request *request)
{
  Worker *worker = context;
  const char *expected = MHD_lookup_connection_value (
      request->connection, MHD_HEADER_KIND, "Expected-Instance");
  Reply reply;

  pthread_mutex_lock (&lock);
  if (worker->back_ms != 0)
    {
      pthread_mutex_unlock (&lock);
      return (Reply){ 0, NULL };
    }
  advance (worker);
  if (strcmp (request->path, "/health") == 0)
    reply = (Reply){ 200, NULL };
  else if (expected != NULL && strcmp (expected, worker->id) != 0)
    reply = worker_reply (worker, 421, NULL);
  else if (number_of (request->body, "fencing_token") < worker->token)
    reply = worker_reply (worker, 409, "fence");
  else
    {
      worker->token = number_of (request->body, "fencing_token");
      if (strcmp (request->path, "/-/run-start") == 0)
        reply = worker_start (worker, request->body);
      else if (strcmp (request->path, "/-/run-stop") == 0)
        reply = worker_stop (worker, request->body);
      else if (strcmp (request->path, "/-/hold") == 0)
        reply = worker_hold (worker, request->body, worker->life);
      else
        reply = worker_reply (worker, 200, NULL);
    }
  pthread_mutex_unlock (&lock);
  return reply;
}

static void
worker_begin (Worker *worker)
{
  worker->life++;
  snprintf (worker->id, sizeof worker->id, "i-%02u%04u", worker->number,
            worker->life);
  worker->start_ms = now_ms ();
  worker->token = 0;
  worker->lease_ms = 0;
  worker->lapsed = false;
  worker->last_end = 0;
  worker->sequence = 0;
  worker->back_ms = 0;
  server_start (&worker->server, worker->port, worker_serve, worker);
  worker->port = worker->server.port;
  note ("worker %s up", worker->id);
}

/* A crash: everything is gone at once, nothing is said; another life follows
 * at the same address under a new id. */
static void
worker_crash (Worker *worker)
{
  struct MHD_Daemon *daemon = worker->server.daemon;
  const char *id = worker->id;

  note ("worker %s crashes", id);
  while (worker->runs != NULL)
    {
      Run *run = worker->runs;

      note ("lost %s %s %ld", id, run->task, run->run);
      worker->runs = run->next;
      free (run);
    }
  while (worker->ends != NULL)
    {
      End *end = worker->ends;

      worker->ends = end->next;
      free (end);
    }
  while (worker->past != NULL)
    {
      Past *past = worker->past;

      worker->past = past->next;
      free (past);
    }
  worker->life++;
  worker->back_ms = now_ms () + crash_down_ms;
  worker->gone_ms = worker->heartbeat_ms - HEARTBEAT_MS + ENTRY_MS;
  memcpy (worker->gone_id, worker->id, sizeof worker->gone_id);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  MHD_stop_daemon (daemon);
  pthread_mutex_lock (&lock);
}

static void
take_config (const char *dir)
{
  char path[512];
  json_t *json;

  snprintf (path, sizeof path, "%s/new-config", dir);
  json = json_load_file (path, 0, NULL);
  if (json == NULL)
    return;
  note ("config %ld acknowledged", number_of (json, "version"));
  put_text ("op", "config", json);
  unlink (path);
}

static void
tick (void)
{
  static long next_crash_ms;
  long at = now_ms () - began_ms;

  store_tick ();
  for (uint32_t i = 0; i < worker_count; i++)
    {
      Worker *worker = &workers[i];

      if (worker->gone_ms != 0 && now_ms () >= worker->gone_ms)
        {
          put_text ("servers", worker->gone_id, NULL);
          worker->gone_ms = 0;
        }
      if (worker->back_ms != 0 && now_ms () >= worker->back_ms)
        worker_begin (worker);
      if (worker->back_ms != 0)
        continue;
      advance (worker);
      if (now_ms () >= worker->heartbeat_ms)
        heartbeat (worker);
    }
  if (crash_from_ms == 0 || at < crash_from_ms || at >= crash_until_ms
      || at < next_crash_ms)
    return;
  next_crash_ms = (next_crash_ms == 0 ? at : next_crash_ms) + crash_every_ms;
  for (uint32_t tries = 0; tries < 100; tries++)
    {
      Worker *worker = &workers[draw (worker_count)];

      if (worker->back_ms != 0 || worker->gone_ms != 0)
        continue;
      worker_crash (worker);
      return;
    }
}

static void
write_file (const char *dir, const char *name, const char *text)
{
  char path[512];
  char temporary[520];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s", dir, name);
  snprintf (temporary, sizeof temporary, "%s.new", path);
  file = fopen (temporary, "w");
  fprintf (file, "%s\n", text);
  fclose (file);
  rename (temporary, path);
}

static void
read_options (int argc, char **argv)
{
  for (int i = 3; i < argc; i++)
    {
      char *equals = strchr (argv[i], '=');
      bool known = false;

      for (size_t j = 0; equals != NULL && j < sizeof options / sizeof options[0];
           j++)
        if (strncmp (argv[i], options[j].name, (size_t) (equals - argv[i])) == 0
            && strlen (options[j].name) == (size_t) (equals - argv[i]))
          {
            *options[j].value = atol (equals + 1);
            known = true;
          }
      if (!known)
        {
          fprintf (stderr, "platform: unknown option %s\n", argv[i]);
          exit (2);
        }
    }
}

static json_t *
first_config (void)
{
  json_t *route = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f}", "name", "r-1",
      "host", "desk.example", "path_prefix", "/q/", "kind", "non_idempotent",
      "timeout_ms", 3000, "target_latency_ms", 1000, "priority", 1, "service",
      "basket", "max_attempts", (int) max_attempts, "slack_factor", 4.0);

  if (ticket_chars > 0)
    json_object_set_new (route, "advisor",
                         json_pack ("{s:f, s:f, s:i}", "decision_ms",
                                    (double) DECISION_MS, "period_ms", 0.1,
                                    "validity_ms", VALIDITY_MS));
  return json_pack (
      "{s:i, s:[o], s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], s:{s:i, s:i, s:i, "
      "s:i}}",
      "version", 1, "routes", route, "services", "name", "basket",
      "health_path", "/health", "max_connections", 64, "protocol", "h1",
      "tls_enabled", 0, "enforces_capacity", 0, "standby", 0, "limits",
      "max_header_bytes", 16384, "max_body_bytes", 262144, "header_timeout_ms",
      3000, "idle_timeout_ms", 15000);
}

int
main (int argc, char **argv)
{
  static Server store;
  static Server advisor;
  char path[512];
  pthread_condattr_t attr;

  if (argc < 3 || atoi (argv[2]) < 1 || atoi (argv[2]) > WORKERS_MAX)
    return 2;
  read_options (argc, argv);
  worker_count = (uint32_t) atoi (argv[2]);
  random_state = (uint64_t) seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attr);
  began_ms = now_ms ();
  snprintf (path, sizeof path, "%s/events", argv[1]);
  events = fopen (path, "w");
  if (events == NULL)
    return 2;
  setvbuf (events, NULL, _IOLBF, 0);
  pthread_mutex_lock (&lock);
  put_text ("op", "config", first_config ());
  for (uint32_t i = 0; i < worker_count; i++)
    {
      workers[i].number = i;
      worker_begin (&workers[i]);
    }
  pthread_mutex_unlock (&lock);
  server_start (&store, 0, store_serve, NULL);
  server_start (&advisor, 0, advisor_serve, NULL);
  write_file (argv[1], "advisor", advisor.addr);
  write_file (argv[1], "store", store.addr);
  for (;;)
    {
      pthread_mutex_lock (&lock);
      take_config (argv[1]);
      tick ();
      pthread_mutex_unlock (&lock);
      pause_ms (10);
    }
}
