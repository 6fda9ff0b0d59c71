#ifndef SUPPORT_DOOR_BENCH_H
#define SUPPORT_DOOR_BENCH_H

#include "support/fake_backend.h"
#include "support/raw_http.h"

#define DOOR_BENCH_BODY_MAX 4096
#define DOOR_BENCH_CALLERS_MAX 2

/* Shared steps of the HTTP server's tests; a failure in them fails the test. */

/** door_bench_set_up() - for cmocka; *@state is the FakeBackend */
int door_bench_set_up (void **state);
int door_bench_tear_down (void **state);
/** door_bench_ask() - send a request, read its response
 * @line_and_headers: without Host and Content-Length */
RawReply door_bench_ask (FakeBackend *fake,
                         const char *line_and_headers,
                         const void *body,
                         size_t len);
/** door_bench_begin() - send a request without a body
 * Return: the connection that its response will come on. */
int door_bench_begin (FakeBackend *fake, const char *line_and_headers);
/** door_bench_answer() - the core responds to @call: done, with @text */
void door_bench_answer (FakeBackend *fake, uint64_t call, const char *text);
/** door_bench_expect_body() - @reply is done, with @text; frees it */
void door_bench_expect_body (RawReply *reply, const char *text);
/** door_bench_expect_status() - send a request, check its response's status */
void door_bench_expect_status (FakeBackend *fake,
                               const char *line_and_headers,
                               const void *body,
                               size_t len,
                               int status);
/** door_bench_expect_come_back() - @reply is "not run", 503 for @reason, and
 * has a retry delay */
void door_bench_expect_come_back (RawReply *reply, const char *reason);
#define DOOR_TEST(test)                                     \
  cmocka_unit_test_setup_teardown (test, door_bench_set_up, \
                                   door_bench_tear_down)

#endif
