#include "../../src/daemon/response_waiters.h"

#include "support/test.h"

#include <pthread.h>

#define CALLERS 32

typedef struct
{
  MuxResponseWaiters *callers;
  uint64_t call;
  MuxResponse reply;
  bool answered;
} Waiter;

static void *
wait_main (void *arg)
{
  Waiter *waiter = arg;

  waiter->answered = mux_response_waiters_wait (waiter->callers, waiter->call,
                                                60000, &waiter->reply);
  return NULL;
}

static void
test_each_gets_its_own (void **state)
{
  MuxResponseWaiters *callers = mux_response_waiters_new (1);
  Waiter waiter[CALLERS];
  pthread_t thread[CALLERS];

  (void) state;
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      waiter[i].callers = callers;
      assert_true (mux_response_waiters_add (callers, &waiter[i].call));
      assert_int_equal (
          pthread_create (&thread[i], NULL, wait_main, &waiter[i]), 0);
    }
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      MuxResponse reply
          = { .call_id = waiter[CALLERS - 1 - i].call,
              .outcome = MUX_RESPONSE_PENDING,
              .pending = (uint32_t) waiter[CALLERS - 1 - i].call };

      assert_true (mux_response_waiters_deliver (callers, &reply));
    }
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      pthread_join (thread[i], NULL);
      assert_true (waiter[i].answered);
      assert_int_equal (waiter[i].reply.pending, waiter[i].call);
    }
  mux_response_waiters_free (callers);
}

/*
 * A response comes after its caller's wait has timed out.  It must be dropped
 * and not reach the next caller, who would take it for the response about its
 * own job.
 */
static void
test_late_answer_finds_nobody (void **state)
{
  MuxResponseWaiters *callers = mux_response_waiters_new (1);
  MuxResponse reply = { .outcome = MUX_RESPONSE_ACCEPTED };
  MuxResponse got;
  uint64_t first;
  uint64_t second;

  (void) state;
  assert_true (mux_response_waiters_add (callers, &first));
  assert_false (mux_response_waiters_wait (callers, first, 0, &got));
  assert_true (mux_response_waiters_add (callers, &second));
  reply.call_id = first;
  assert_false (mux_response_waiters_deliver (callers, &reply));
  assert_false (mux_response_waiters_wait (callers, second, 0, &got));
  mux_response_waiters_free (callers);
}

/*
 * The planner replies to a job that a daemon relayed just before it was killed.
 * If the daemon's next process used the same call numbers, one of its callers
 * would get "accepted" for a job that was not stored and never runs.
 */
static void
test_next_process_gives_no_number_again (void **state)
{
  MuxResponseWaiters *former = mux_response_waiters_new (1 << 16);
  MuxResponseWaiters *callers = mux_response_waiters_new (2 << 16);
  MuxResponse reply = { .outcome = MUX_RESPONSE_ACCEPTED };
  MuxResponse got;
  uint64_t call;

  (void) state;
  assert_true (mux_response_waiters_add (former, &reply.call_id));
  assert_true (mux_response_waiters_add (callers, &call));
  assert_int_equal (call, 2 << 16);
  assert_false (mux_response_waiters_deliver (callers, &reply));
  assert_false (mux_response_waiters_wait (former, reply.call_id, 0, &got));
  assert_false (mux_response_waiters_wait (callers, call, 0, &got));
  mux_response_waiters_free (former);
  mux_response_waiters_free (callers);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_gets_its_own),
    cmocka_unit_test (test_late_answer_finds_nobody),
    cmocka_unit_test (test_next_process_gives_no_number_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
