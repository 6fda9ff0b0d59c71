#ifndef SUPPORT_HISTORY_H
#define SUPPORT_HISTORY_H

#include "base/error.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Checks what callers were told against what the workers logged.
 *
 * Callers' log, one JSON object a line:
 *   a request's submission, once it has its answer or none will come:
 *   {"event":"request","call":N,"class":S,"key":S,"idempotent":B,
 *    "submit_ms":N,"answer_ms":N,"outcome":"done|not_run|unknown|failed|none",
 *    "task":HEX,"reason":S,"body_hash":S,"answer_hash":S,"expect_hash":S}
 *     Each key has a body of its own, and so has each submission without a
 *     key: a body names the work.  answer_hash is of the bytes that came,
 *     expect_hash of those that the task named by Cuminmux-Task must give.
 *   {"event":"job","job":HEX,"class":S,"tasks":N,"body_hash":S}: 202 came
 *   {"event":"job_end","job":HEX,"state":"done|failed|cancelled"}: as shown
 *   {"event":"died","worker":S,"t_ms":N}: that worker's process has ended
 *   {"event":"leaving","worker":S,"t_ms":N}: a drain of it was accepted
 *   {"event":"change","who":S,"expect":N,"outcome":S,"revision":N}: a change
 *     of configuration; who names that change alone, revision if done
 *   {"event":"kept","daemon":S,"revision":N,"object":S,"who":S}: a row of the
 *     history as that daemon shows it at the end, in its order
 *   {"event":"shown","daemon":S,"life":N,"revision":N}: in force there, as
 *     shown, in the order seen
 * All times are of the monotonic clock; a "mono_ms" goes before a "t_ms".
 *
 * Workers' logs, one per worker, as the worker stand-in writes them; "start"
 * and "end" lines count, the others are skipped.  A last line without its
 * newline was cut by a kill and is left out.
 */

/**
 * enum MuxRule - what a history may not contain
 */
typedef enum
{
  MUX_RULE_LOG,            /* a line that can't be understood */
  MUX_RULE_RAN_TWICE,      /* a non-idempotent body executed more than once */
  MUX_RULE_TWO_PLACES,     /* a task id running in two places at once */
  MUX_RULE_OVERCOMMIT,     /* a worker held more than its capacity */
  MUX_RULE_WRONG_ANSWER,   /* not the whole answer of its own task */
  MUX_RULE_NOT_RUN_RAN,    /* told not_run, but it executed */
  MUX_RULE_DONE_NEVER_RAN, /* told done, but it did not execute to its end */
  MUX_RULE_JOB_OPEN,       /* an accepted job that did not end */
  MUX_RULE_LEAVING,        /* a start on a leaving worker, past the grace */
  MUX_RULE_CONFIG_LOST,    /* an accepted change not once in the history, or
                              one that was refused, or unseen, is */
  MUX_RULE_CONFIG_BACK,    /* a daemon went back, or is behind at the end */
  MUX_RULE_COUNT
} MuxRule;

const char *mux_rule_name (MuxRule rule);

#define MUX_HISTORY_FINDINGS 32
/* A leaving worker gets nothing new after so long. */
#define MUX_LEAVING_GRACE_MS 2000

/**
 * struct MuxHistoryReport - verdict
 * @broken: violations by rule
 * @calls: submissions in the log
 * @starts: executions in the logs
 * @finding_count: used entries of @finding
 * @finding: the first violations in words
 */
typedef struct
{
  uint32_t broken[MUX_RULE_COUNT];
  uint32_t calls;
  uint32_t starts;
  uint32_t finding_count;
  char finding[MUX_HISTORY_FINDINGS][MUX_ERROR_TEXT_LEN];
} MuxHistoryReport;

typedef struct MuxHistory MuxHistory;

MuxHistory *mux_history_new (void);
void mux_history_free (MuxHistory *history);
/** mux_history_worker() - what a worker can hold, told before its lines */
void
mux_history_worker (MuxHistory *history, const char *name, MuxSize capacity);
/** mux_history_calls() - lines of the callers' log; may come in parts */
void mux_history_calls (MuxHistory *history, const char *text, size_t len);
/** mux_history_work() - all lines of one worker, in the order it wrote them */
void mux_history_work (MuxHistory *history, const char *text, size_t len);
/** mux_history_calls_file(), mux_history_work_file() - the same from a file */
bool
mux_history_calls_file (MuxHistory *history, const char *path, MuxError *err);
bool
mux_history_work_file (MuxHistory *history, const char *path, MuxError *err);
/** mux_history_check() - apply every rule
 * Return: true when nothing is broken. */
bool mux_history_check (MuxHistory *history, MuxHistoryReport *report);

#endif
