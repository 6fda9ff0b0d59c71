#include "arg_spec.h"

#define REVISION_MAX INT64_MAX
#define TIMEOUT_MS_MAX 3600000
/* A day. */
#define SPAN_MAX_S 86400

/* A number for a field of the model: the model checks its range. */
#define MODEL MUX_CHECK_NUMBER, INT64_MIN, INT64_MAX, 0

const MuxArgSpec mux_arg_specs[MUX_ARG_COUNT] = {
  [MUX_ARG_SERVER]
  = { "server", "URLS", MUX_CHECK_TEXT, 0, 0, 0, NULL,
      "daemons, tried in order: http[s]://ip:port[,…] (CUMINMUX_SERVER)" },
  [MUX_ARG_CA_FILE]
  = { "ca-file", "PATH", MUX_CHECK_TEXT, 0, 0, 0, NULL,
      "PEM certificates that alone are trusted for https; default: the "
      "system's (CUMINMUX_CA_FILE)" },
  [MUX_ARG_TIMEOUT_MS]
  = { "timeout-ms", "MS", MUX_CHECK_NUMBER, 1, TIMEOUT_MS_MAX, 5000, NULL,
      "longest wait for an answer; default 5000 (CUMINMUX_TIMEOUT_MS)" },
  [MUX_ARG_WHO] = { "who", "NAME", MUX_CHECK_WHO, 0, 0, 0, NULL,
                    "who makes a change, for the history (CUMINMUX_WHO)" },
  [MUX_ARG_JSON] = { "json", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL,
                     "print JSON for machines (CUMINMUX_JSON=1)" },
  [MUX_ARG_HELP]
  = { "help", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL, "print this help" },
  [MUX_ARG_NAME]
  = { NULL, "NAME", MUX_CHECK_NAME, 0, 0, 0, NULL, "name of what is meant" },
  [MUX_ARG_JOB] = { NULL, "JOB", MUX_CHECK_ID, 0, 0, 0, NULL,
                    "id of a job, 32 hexadecimal digits" },
  [MUX_ARG_PRODUCT] = { "product", "NAME", MUX_CHECK_TEXT, 0, 0, 0, "product",
                        "the product that answers for the class" },
  [MUX_ARG_KIND] = { "kind", "KIND", MUX_CHECK_TEXT, 0, 0, 0, "kind",
                     "service, batch, gang or long_running" },
  [MUX_ARG_IDEMPOTENT]
  = { "idempotent", "yes|no", MUX_CHECK_YES_NO, 0, 0, 0, "idempotent",
      "whether running a task twice, one after the other, does no harm" },
  [MUX_ARG_START_WITHIN_MS]
  = { "start-within-ms", "MS", MODEL, "start_within_ms",
      "promised waiting time until work starts" },
  [MUX_ARG_SHARE_PPM]
  = { "share-ppm", "PPM", MODEL, "start_share_ppm",
      "share of starts that must meet it; default 990000 (99 %)" },
  [MUX_ARG_CPU_MILLI]
  = { "cpu-milli", "N", MODEL, "cpu_milli", "processors, in thousandths" },
  [MUX_ARG_MEM_MIB] = { "mem-mib", "MIB", MODEL, "mem_mib", "memory, in MiB" },
  [MUX_ARG_ACCELS] = { "accels", "N", MODEL, "accels", "accelerators" },
  [MUX_ARG_SLOTS]
  = { "slots", "N", MODEL, "slots", "tasks held at once; all 0: no bound" },
  [MUX_ARG_RUN_MS] = { "run-ms", "MS", MODEL, "run_ms",
                       "declared run time of a task; 0 for long_running" },
  [MUX_ARG_IDLE_PPM] = { "idle-ppm", "PPM", MODEL, "idle_ppm",
                         "share of capacity that may be paid for while idle" },
  [MUX_ARG_EXPECT]
  = { "expect", "REV", MUX_CHECK_NUMBER, 0, REVISION_MAX, 0, NULL,
      "change it only from this revision; 0: it must not exist" },
  [MUX_ARG_CHANGE]
  = { "change", "ID", MUX_CHECK_ID, 0, 0, 0, NULL,
      "id of an earlier change of unknown outcome, to settle it" },
  [MUX_ARG_WAIT] = { "wait", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL,
                     "wait until every reachable daemon has the change" },
  [MUX_ARG_WAIT_MS] = { "wait-ms", "MS", MUX_CHECK_NUMBER, 0, TIMEOUT_MS_MAX,
                        30000, NULL, "longest wait; default 30000" },
  [MUX_ARG_TO] = { "to", "REV", MUX_CHECK_NUMBER, 1, REVISION_MAX, 0, NULL,
                   "revision to go back to" },
  [MUX_ARG_AFTER] = { "after", "REV", MUX_CHECK_NUMBER, 0, REVISION_MAX, 0,
                      NULL, "show changes after this revision alone" },
  [MUX_ARG_TASKS] = { "tasks", "N", MUX_CHECK_NUMBER, 1, UINT32_MAX, 1, NULL,
                      "tasks of the job; default 1" },
  [MUX_ARG_KEY] = { "key", "KEY", MUX_CHECK_KEY, 0, 0, 0, NULL,
                    "idempotency key, 1 to 128 printable bytes; default: a "
                    "random one" },
  [MUX_ARG_TICKET] = { "ticket", "TICKET", MUX_CHECK_TICKET, 0, 0, 0, NULL,
                       "ticket that names the work, in place of a key" },
  [MUX_ARG_ALL] = { "all", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL,
                    "ask every daemon of --server and merge their answers" },
  [MUX_ARG_BODY] = { "body", "TEXT", MUX_CHECK_TEXT, 0, 0, 0, NULL,
                     "the body; default: standard input" },
  [MUX_ARG_FILE] = { "file", "PATH", MUX_CHECK_TEXT, 0, 0, 0, NULL,
                     "file to read; default: standard input" },
  [MUX_ARG_GIVE_UP_MS]
  = { "give-up-ms", "MS", MUX_CHECK_NUMBER, 1, TIMEOUT_MS_MAX, 30000, NULL,
      "give up when it has not ended by then; default 30000" },
  [MUX_ARG_SPAN_S] = { "span-s", "S", MUX_CHECK_NUMBER, 1, SPAN_MAX_S, 10, NULL,
                       "length of the spans of time; default 10" },
  [MUX_ARG_BY_SIZE]
  = { "by-size", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL,
      "what the steps of large and small jobs waited for, in place of spans" },
  [MUX_ARG_BY_WORKSPACE]
  = { "by-workspace", NULL, MUX_CHECK_SWITCH, 0, 1, 0, NULL,
      "what callers of each workspace got, in place of spans" },
};
