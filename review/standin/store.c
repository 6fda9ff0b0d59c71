#include "store.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ENTRIES_MAX 100
#define CALL_BYTES_MAX (1024 * 1024)
#define PAGE_ROWS 500
#define PAGE_BYTES (1024 * 1024)
#define TRANSACTION_MS 5
#define BUCKETS 4096

typedef struct Row Row;
struct Row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64; NULL: removed */
  uint64_t version;
  Row *next; /* in its bucket */
};

struct Store
{
  HttpServer *server;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  Row *bucket[BUCKETS];
  uint64_t version;
  unsigned refused_rows;
  size_t largest;
};

static const char digits[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
base64 (const char *text)
{
  size_t len = strlen (text);
  char *out = malloc (len / 3 * 4 + 5);
  size_t n = 0;

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned a = (unsigned char) text[i];
      unsigned b = i + 1 < len ? (unsigned char) text[i + 1] : 0;
      unsigned c = i + 2 < len ? (unsigned char) text[i + 2] : 0;

      out[n++] = digits[a >> 2];
      out[n++] = digits[(a & 3) << 4 | b >> 4];
      out[n++] = i + 1 < len ? digits[(b & 15) << 2 | c >> 6] : '=';
      out[n++] = i + 2 < len ? digits[c & 63] : '=';
    }
  out[n] = 0;
  return out;
}

static char *
unbase64 (const char *text)
{
  char *out = malloc (strlen (text) + 1);
  unsigned bits = 0;
  unsigned value = 0;
  size_t n = 0;

  for (; *text != 0 && *text != '='; text++)
    {
      const char *at = strchr (digits, *text);

      if (at == NULL)
        continue;
      value = value << 6 | (unsigned) (at - digits);
      bits += 6;
      if (bits >= 8)
        {
          bits -= 8;
          out[n++] = (char) (value >> bits & 255);
        }
    }
  out[n] = 0;
  return out;
}

static unsigned
hash (const char *table, const char *part, const char *key)
{
  unsigned h = 5381;

  for (; *table != 0; table++)
    h = h * 33 + (unsigned char) *table;
  for (; *part != 0; part++)
    h = h * 33 + (unsigned char) *part;
  for (; *key != 0; key++)
    h = h * 33 + (unsigned char) *key;
  return h % BUCKETS;
}

static Row *
find (Store *store, const char *table, const char *part, const char *key)
{
  Row *row;

  for (row = store->bucket[hash (table, part, key)]; row != NULL;
       row = row->next)
    if (strcmp (row->key, key) == 0 && strcmp (row->part, part) == 0
        && strcmp (row->table, table) == 0)
      return row;
  return NULL;
}

/* Takes @value. */
static void
write_row (Store *store,
           const char *table,
           const char *part,
           const char *key,
           char *value)
{
  Row *row = find (store, table, part, key);
  unsigned h = hash (table, part, key);

  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      row->table = strdup (table);
      row->part = strdup (part);
      row->key = strdup (key);
      row->next = store->bucket[h];
      store->bucket[h] = row;
    }
  free (row->value);
  row->value = value;
  row->version = store->version;
}

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
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

static json_t *
answer_json (const Store *store, json_t *rows)
{
  return json_pack ("{s:I, s:I, s:o}", "row_version",
                    (json_int_t) store->version, "now_ms",
                    (json_int_t) now_ms (), "rows", rows);
}

static uint64_t
version_of (Store *store, const json_t *json)
{
  const Row *row = find (store, text_of (json, "table"), text_of (json, "part"),
                         text_of (json, "key"));

  return row != NULL && row->value != NULL ? row->version : 0;
}

static size_t
decoded_len (const char *text)
{
  size_t len = strlen (text);
  size_t pad
      = len > 1 && text[len - 1] == '=' ? (text[len - 2] == '=' ? 2 : 1) : 0;

  return len / 4 * 3 - pad;
}

/* Whether the call keeps the limits of the page. */
static int
check_limits (Store *store, const HttpAsk *ask)
{
  static const char *const lists[] = { "precondition", "writes", "remove" };
  const char *part = NULL;
  size_t entries = 0;

  if (ask->body == NULL || ask->body_len > CALL_BYTES_MAX)
    return 400;
  for (int l = 0; l < 3; l++)
    {
      const json_t *row;
      size_t i;

      json_array_foreach (json_object_get (ask->body, lists[l]), i, row)
      {
        const char *table = text_of (row, "table");
        size_t len = decoded_len (text_of (row, "value"));

        entries++;
        if (part != NULL && strcmp (part, text_of (row, "part")) != 0)
          return 400;
        part = text_of (row, "part");
        if (l > 0
            && (strcmp (table, "op") == 0 || strcmp (table, "servers") == 0))
          return 403;
        if (len > ROW_BYTES)
          {
            store->refused_rows++;
            if (len > store->largest)
              store->largest = len;
            return 400;
          }
      }
    }
  return entries <= ENTRIES_MAX ? 200 : 400;
}

static HttpAnswer
transact (Store *store, const HttpAsk *ask)
{
  HttpAnswer answer = { check_limits (store, ask), NULL };
  json_t *rows = json_array ();
  const json_t *row;
  bool holds = true;
  size_t i;

  if (answer.status != 200)
    {
      json_decref (rows);
      return answer;
    }
  json_array_foreach (json_object_get (ask->body, "precondition"), i, row)
  {
    const Row *now = find (store, text_of (row, "table"), text_of (row, "part"),
                           text_of (row, "key"));

    holds = holds
            && version_of (store, row)
                   == (uint64_t) json_integer_value (
                       json_object_get (row, "row_version"));
    if (now != NULL && now->value != NULL)
      json_array_append_new (rows, row_json (now));
  }
  if (!holds)
    {
      answer.status = 412;
      answer.json = answer_json (store, rows);
      return answer;
    }
  json_array_clear (rows);
  store->version++;
  json_array_foreach (json_object_get (ask->body, "writes"), i, row)
      write_row (store, text_of (row, "table"), text_of (row, "part"),
                 text_of (row, "key"), strdup (text_of (row, "value")));
  json_array_foreach (json_object_get (ask->body, "remove"), i, row)
  {
    if (version_of (store, row) != 0)
      write_row (store, text_of (row, "table"), text_of (row, "part"),
                 text_of (row, "key"), NULL);
  }
  pthread_cond_broadcast (&store->changed);
  answer.json = answer_json (store, rows);
  return answer;
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
  const Row *x = *(const Row *const *) a;
  const Row *y = *(const Row *const *) b;

  return x->version < y->version ? -1 : x->version > y->version;
}

/* All rows that @wanted accepts; the caller frees the list. */
static const Row **
collect (const Store *store,
         bool (*wanted) (const Row *row, const void *context),
         const void *context,
         size_t *count)
{
  const Row **list = NULL;
  size_t cap = 0;

  *count = 0;
  for (unsigned b = 0; b < BUCKETS; b++)
    for (const Row *row = store->bucket[b]; row != NULL; row = row->next)
      {
        if (!wanted (row, context))
          continue;
        if (*count == cap)
          {
            cap = cap * 2 + 64;
            list = realloc (list, cap * sizeof *list);
          }
        list[(*count)++] = row;
      }
  return list;
}

typedef struct
{
  char table[256];
  char part[256];
  char from[256];
  char to[256];
  uint64_t after;
} Range;

static bool
in_range (const Row *row, const void *context)
{
  const Range *range = context;

  return row->value != NULL && strcmp (row->table, range->table) == 0
         && strcmp (row->part, range->part) == 0
         && strcmp (row->key, range->from) >= 0
         && (range->to[0] == 0 || strcmp (row->key, range->to) < 0);
}

static bool
is_newer (const Row *row, const void *context)
{
  const Range *range = context;

  return row->version > range->after && strcmp (row->table, range->table) == 0;
}

static HttpAnswer
read_rows (Store *store, const HttpAsk *ask)
{
  HttpAnswer answer = { 200, NULL };
  json_t *rows = json_array ();
  Range range = { .after = 0 };
  size_t bytes = 0;
  size_t count;
  size_t i;
  const Row **list;

  http_query (ask, "table", range.table, sizeof range.table);
  http_query (ask, "part", range.part, sizeof range.part);
  http_query (ask, "from", range.from, sizeof range.from);
  http_query (ask, "to", range.to, sizeof range.to);
  list = collect (store, in_range, &range, &count);
  if (count > 0)
    qsort (list, count, sizeof *list, by_key);
  for (i = 0; i < count && i < PAGE_ROWS; i++)
    {
      bytes += strlen (list[i]->value) + 200;
      if (bytes > PAGE_BYTES)
        break;
      json_array_append_new (rows, row_json (list[i]));
    }
  free (list);
  answer.json = answer_json (store, rows);
  json_object_set_new (answer.json, "has_more", json_boolean (i < count));
  return answer;
}

static HttpAnswer
feed (Store *store, const HttpAsk *ask)
{
  HttpAnswer answer = { 200, NULL };
  json_t *rows = json_array ();
  Range range = { .after = 0 };
  char after[32];
  char wait[32];
  struct timespec until;
  size_t count = 0;
  const Row **list;
  int rc = 0;

  http_query (ask, "table", range.table, sizeof range.table);
  http_query (ask, "after", after, sizeof after);
  http_query (ask, "wait_ms", wait, sizeof wait);
  range.after = strtoull (after, NULL, 10);
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += atoi (wait) / 1000;
  until.tv_nsec += atoi (wait) % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  for (;;)
    {
      list = collect (store, is_newer, &range, &count);
      if (count > 0 || rc != 0)
        break;
      free (list);
      rc = pthread_cond_timedwait (&store->changed, &store->mutex, &until);
    }
  if (count > 0)
    qsort (list, count, sizeof *list, by_version);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (rows, row_json (list[i]));
  free (list);
  answer.json = answer_json (store, rows);
  return answer;
}

static HttpAnswer
serve (void *context, const HttpAsk *ask)
{
  Store *store = context;
  HttpAnswer answer = { 404, NULL };

  if (strcmp (ask->path, "/-/rows-tx") == 0)
    pause_ms (TRANSACTION_MS);
  pthread_mutex_lock (&store->mutex);
  if (strcmp (ask->path, "/-/rows-tx") == 0)
    answer = transact (store, ask);
  else if (strcmp (ask->path, "/-/rows-get") == 0)
    answer = read_rows (store, ask);
  else if (strcmp (ask->path, "/-/rows-feed") == 0)
    answer = feed (store, ask);
  pthread_mutex_unlock (&store->mutex);
  return answer;
}

Store *
store_new (void)
{
  Store *store = calloc (1, sizeof *store);

  pthread_mutex_init (&store->mutex, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->version = 100;
  store->server = http_serve (serve, store);
  return store->server != NULL ? store : NULL;
}

const char *
store_addr (const Store *store)
{
  return http_addr (store->server);
}

void
store_put (Store *store, const char *table, const char *key, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  pthread_mutex_lock (&store->mutex);
  store->version++;
  write_row (store, table, "", key, base64 (text));
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->mutex);
  free (text);
  json_decref (value);
}

void
store_remove (Store *store, const char *table, const char *key)
{
  pthread_mutex_lock (&store->mutex);
  store->version++;
  write_row (store, table, "", key, NULL);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->mutex);
}

void
store_claim_holder (Store *store, char *name, size_t cap)
{
  const Row *row;
  char *text = NULL;
  json_t *json = NULL;

  pthread_mutex_lock (&store->mutex);
  row = find (store, "cuminmux-claim", "", "claim");
  if (row != NULL && row->value != NULL)
    text = unbase64 (row->value);
  pthread_mutex_unlock (&store->mutex);
  if (text != NULL)
    json = json_loads (text, 0, NULL);
  snprintf (name, cap, "%s", text_of (json, "name"));
  json_decref (json);
  free (text);
}

unsigned
store_refused_rows (Store *store, size_t *largest)
{
  unsigned n;

  pthread_mutex_lock (&store->mutex);
  n = store->refused_rows;
  *largest = store->largest;
  pthread_mutex_unlock (&store->mutex);
  return n;
}
