#include "cell/job_room.h"
#include "support/test.h"

/* Which jobs are accepted into the memory for jobs. */

#define LIMIT 1000000
#define SMALL 100
#define WIDE 50000
#define ALL_MS 30000

/* Adds jobs of the size until one is refused.
 * Return: bytes of them. */
static uint64_t
fill (MuxJobRoom *room, uint64_t bytes)
{
  uint64_t filled = 0;

  while (mux_job_room_missing (room, bytes) == 0)
    {
      room->used_bytes += bytes;
      room->sender_bytes += bytes;
      filled += bytes;
    }
  return filled;
}

/* Guards against wide jobs that leave ordinary ones no room. */
static void
test_wide_jobs_leave_room_for_small_ones (void **state)
{
  MuxJobRoom room = { .limit_bytes = LIMIT };

  (void) state;
  assert_true (fill (&room, WIDE) > LIMIT / 2);
  assert_true (LIMIT - room.used_bytes >= 7 * WIDE);
  assert_int_equal (mux_job_room_missing (&room, SMALL), 0);
}

/* Guards against a sender of many small jobs that leaves other senders no
 * room. */
static void
test_one_sender_leaves_room_for_others (void **state)
{
  MuxJobRoom room = { .limit_bytes = LIMIT };

  (void) state;
  assert_in_range (fill (&room, SMALL), LIMIT / 10 * 7, LIMIT / 10 * 8);
  for (uint32_t i = 0; i < 4; i++)
    {
      room.sender_bytes = 0;
      assert_int_equal (mux_job_room_missing (&room, SMALL), 0);
      assert_true (fill (&room, SMALL) > 0);
    }
  assert_true (room.used_bytes <= LIMIT);
}

/* Guards against a retry that comes too early by as much as is missing. */
static void
test_job_is_accepted_once_the_missing_bytes_are_released (void **state)
{
  MuxJobRoom room = { .limit_bytes = LIMIT };
  uint64_t missing;

  (void) state;
  (void) fill (&room, SMALL);
  missing = mux_job_room_missing (&room, WIDE);
  assert_true (missing > 0);
  room.used_bytes -= missing - 1;
  room.sender_bytes -= missing - 1;
  assert_true (mux_job_room_missing (&room, WIDE) > 0);
  room.used_bytes -= 5;
  room.sender_bytes -= 5;
  assert_int_equal (mux_job_room_missing (&room, WIDE), 0);
}

/* Guards against a job that an empty room refuses although it is no larger
 * than the largest that is accepted, and against the reverse. */
static void
test_largest_job_fits_an_empty_room (void **state)
{
  MuxJobRoom room = { .limit_bytes = LIMIT };
  uint64_t max = mux_job_room_job_max (LIMIT);

  (void) state;
  assert_int_equal (mux_job_room_missing (&room, max), 0);
  assert_true (mux_job_room_missing (&room, max + 1) > 0);
}

/* Guards against an overflow, or acceptance, when more is used than the limit
 * allows, as after a takeover. */
static void
test_room_that_is_overfull_accepts_nothing (void **state)
{
  MuxJobRoom room = { .limit_bytes = LIMIT, .used_bytes = 3 * LIMIT };

  (void) state;
  assert_true (mux_job_room_missing (&room, 1) > 2 * LIMIT);
}

/* Guards against retries that have nothing to do with when room is released. */
static void
test_retry_follows_the_rate_of_releases (void **state)
{
  (void) state;
  assert_in_range (mux_job_room_retry_ms (20000, 4000, 0), 5000, 6250);
  assert_in_range (mux_job_room_retry_ms (1, 4000, 0), 1000, 1250);
  assert_in_range (mux_job_room_retry_ms (20000, 0, 0), ALL_MS, ALL_MS * 5 / 4);
  assert_in_range (mux_job_room_retry_ms (UINT64_MAX / 2, 1, 7), ALL_MS,
                   ALL_MS * 5 / 4);
}

/* Guards against an instance of unknown memory that accepts nothing. */
static void
test_limit_is_a_part_of_the_memory (void **state)
{
  (void) state;
  assert_int_equal (mux_job_room_limit (260), UINT64_C (65) << 20);
  assert_int_equal (mux_job_room_limit (0), UINT64_C (64) << 20);
  assert_int_equal (mux_job_room_limit (1), UINT64_C (1) << 20);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_wide_jobs_leave_room_for_small_ones),
    cmocka_unit_test (test_one_sender_leaves_room_for_others),
    cmocka_unit_test (test_job_is_accepted_once_the_missing_bytes_are_released),
    cmocka_unit_test (test_largest_job_fits_an_empty_room),
    cmocka_unit_test (test_room_that_is_overfull_accepts_nothing),
    cmocka_unit_test (test_retry_follows_the_rate_of_releases),
    cmocka_unit_test (test_limit_is_a_part_of_the_memory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
