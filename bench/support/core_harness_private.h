#ifndef SUPPORT_CORE_HARNESS_PRIVATE_H
#define SUPPORT_CORE_HARNESS_PRIVATE_H

#include "bench/support/core_harness.h"

#include <uthash.h>
#include <utlist.h>

#define HARNESS_NAME "entry-a"
#define HARNESS_WORKER_MS 1
#define HARNESS_WORKER_LIFE 7

/* A call on its way, or its reply. */
struct HarnessCall
{
  int64_t due_ms;
  MuxWorkerCall call;
  uint32_t worker;
  MuxTableCall *table;
  MuxId task;
  HarnessCall *prev;
  HarnessCall *next;
  UT_hash_handle hh;
};

/* core_harness.c */
void harness_must (bool good, const char *what);
void harness_step (CoreHarness *harness, const MuxEvent *event);

/* core_harness_sink.c: what the core sends. */
void harness_sink_init (CoreHarness *harness);
void harness_member_name (uint32_t member, char *out);
void harness_call_free (HarnessCall *call);

/* core_harness_answer.c: what the stand-ins answer. */
void harness_answer_worker (CoreHarness *harness, HarnessCall *item);
void harness_answer_table (CoreHarness *harness, HarnessCall *item);
/** harness_task_ended() - a stand-in's on_end */
void harness_task_ended (void *ctx, MuxId task);

#endif
