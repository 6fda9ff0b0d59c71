#ifndef SUPPORT_HISTORY_DATA_H
#define SUPPORT_HISTORY_DATA_H

#include "demo/support/history.h"

#include <jansson.h>
#include <stdint.h>

/* Bytes of a hash as text with its closing NUL. */
#define HASH_LEN 40
/* End of an execution that was still running when its log ended. */
#define STILL_RUNNING INT64_MAX
#define NO_LINE UINT64_MAX

/* One start at a worker, with the end that belongs to it. */
typedef struct
{
  char task[MUX_ID_HEX_LEN];
  char worker[MUX_NAME_LEN];
  uint64_t incarnation;
  char class_name[MUX_NAME_LEN];
  char body_hash[HASH_LEN];
  char answer_hash[HASH_LEN];
  MuxSize size;
  int64_t start_ms;
  int64_t end_ms;
  uint64_t start_line; /* place in the worker's log, which orders its room */
  uint64_t end_line;
  bool done;
} Execution;

typedef struct
{
  uint64_t call;
  char class_name[MUX_NAME_LEN];
  char key[MUX_KEY_LEN];
  bool idempotent;
  char outcome[16];
  char task[MUX_ID_HEX_LEN];
  char body_hash[HASH_LEN];
  char answer_hash[HASH_LEN];
  char expect_hash[HASH_LEN];
} Call;

typedef struct
{
  char job[MUX_ID_HEX_LEN];
  char class_name[MUX_NAME_LEN];
  char body_hash[HASH_LEN];
  uint32_t tasks;
  char state[16]; /* "" while open */
} Job;

typedef struct
{
  char name[MUX_NAME_LEN];
  MuxSize capacity;
  int64_t leaving_ms; /* STILL_RUNNING: it does not */
} Worker;

typedef struct
{
  const char *worker;
  int64_t at_ms;
} Death;

typedef struct
{
  char who[MUX_NAME_LEN];
  int64_t expect;
  char outcome[16];
  int64_t revision;
} Change;

typedef struct
{
  char daemon[MUX_NAME_LEN];
  int64_t revision;
  char object[MUX_NAME_LEN];
  char who[MUX_NAME_LEN];
} Kept;

typedef struct
{
  char daemon[MUX_NAME_LEN];
  int64_t life;
  int64_t revision;
} Shown;

/* Growing array; @items is of the element's size. */
typedef struct
{
  void *items;
  uint32_t count;
  uint32_t room;
  uint32_t item_size;
} List;

struct MuxHistory
{
  List executions; /* of Execution */
  List calls;      /* of Call */
  List jobs;       /* of Job */
  List workers;    /* of Worker; all told before any line */
  List deaths;     /* of Death */
  List changes;    /* of Change */
  List kept;       /* of Kept */
  List shown;      /* of Shown */
  uint64_t lines;  /* read so far */
  MuxHistoryReport report;
};

/** mux_list_add() - a zeroed element at the end; ends the test when memory is
 * out, since a checker must not leave anything out */
void *mux_list_add (List *list);
void *mux_list_at (const List *list, uint32_t index);
/* A field of @json; false when it is missing or does not fit. */
bool mux_history_get_text (const json_t *json,
                           const char *name,
                           char *out,
                           size_t cap);
bool
mux_history_get_integer (const json_t *json, const char *name, int64_t *out);
/** mux_history_config() - take in a line about configuration */
bool
mux_history_config (MuxHistory *history, const char *event, const json_t *json);
/** mux_history_check_config() - its two rules */
void mux_history_check_config (MuxHistory *history);
Worker *mux_history_find_worker (const MuxHistory *history, const char *name);
void
mux_history_break (MuxHistory *history, MuxRule rule, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
