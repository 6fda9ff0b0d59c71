#ifndef SUPPORT_DOOR_BENCH_H
#define SUPPORT_DOOR_BENCH_H

#include "support/fake_backend.h"
#include "support/raw_http.h"

#define DOOR_BENCH_BODY_MAX 4096
#define DOOR_BENCH_CALLERS_MAX 2

/**
 * struct DoorBench - the door before a fake core
 * @fake: the core
 * @counters: the door's
 * @door: listening
 * @addr: where
 */
typedef struct
{
  FakeBackend fake;
  MuxCounters *counters;
  MuxDoor *door;
  char addr[MUX_ADDR_LEN];
} DoorBench;

/* Shared steps of the door's tests; what fails in them fails the test. */

/** door_bench_set_up() - for cmocka; *@state is the bench */
int door_bench_set_up (void **state);
int door_bench_tear_down (void **state);
/** door_bench_ask() - send a request, read its answer
 * @line_and_headers: without those that tell host and length */
RawReply door_bench_ask (DoorBench *bench,
                         const char *line_and_headers,
                         const void *body,
                         size_t len);
/** door_bench_begin() - send a request without a body
 * Return: the connection that its answer will come on. */
int door_bench_begin (DoorBench *bench, const char *line_and_headers);
/** door_bench_answer() - the core's answer to @call: done, with @text */
void door_bench_answer (DoorBench *bench, uint64_t call, const char *text);
/** door_bench_expect_body() - @reply is done with @text; frees it */
void door_bench_expect_body (RawReply *reply, const char *text);

#endif
