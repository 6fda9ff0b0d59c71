#include "cell/handover_rules.h"

#include "support/test.h"

#include <stdio.h>

/* When an impaired planner hands over, and which handovers that rules out. */

#define STEP_MS 250
#define FOREVER_MS 120000

static MuxHandoverReason
feed (MuxImpairment *impairment,
      int64_t *now_ms,
      int64_t for_ms,
      MuxImpairmentSigns signs)
{
  MuxHandoverReason reason = MUX_HANDOVER_NONE;

  for (int64_t end_ms = *now_ms + for_ms; *now_ms < end_ms;)
    {
      *now_ms += STEP_MS;
      reason = mux_impairment_update (impairment, *now_ms, &signs);
      if (reason != MUX_HANDOVER_NONE)
        return reason;
    }
  return reason;
}

/* Return: time until the signs count as an impairment; FOREVER_MS: never. */
static int64_t
time_to (MuxImpairmentSigns signs, MuxHandoverReason expected)
{
  MuxImpairment impairment = { .updated_ms = 0 };
  int64_t now_ms = 1000;
  MuxHandoverReason reason = feed (&impairment, &now_ms, FOREVER_MS, signs);

  if (reason == MUX_HANDOVER_NONE)
    return FOREVER_MS;
  assert_int_equal (reason, expected);
  return now_ms - 1000;
}

static void
test_lasting_signs_are_an_impairment (void **state)
{
  MuxImpairmentSigns slow = { .loop_ms = 1000, .hello_ms = 1100, .able = true };
  MuxImpairmentSigns link = { .loop_ms = 5, .hello_ms = 600, .able = true };
  MuxImpairmentSigns replies
      = { .loop_ms = 5, .hello_ms = 200, .reply_ms = 900, .able = true };

  (void) state;
  assert_in_range (time_to (slow, MUX_HANDOVER_LATE), 4000, 7000);
  assert_in_range (time_to (link, MUX_HANDOVER_LINK), 4000, 7000);
  assert_in_range (time_to (replies, MUX_HANDOVER_LINK), 4000, 7000);
}

/* A handover costs a second: none for a usual day, for slow workers, or for
 * what the lack of ability explains. */
static void
test_usual_signs_are_none (void **state)
{
  MuxImpairmentSigns usual
      = { .loop_ms = 60, .hello_ms = 80, .reply_ms = 120, .able = true };
  MuxImpairmentSigns workers
      = { .loop_ms = 20, .hello_ms = 50, .reply_ms = 3000, .able = true };
  MuxImpairmentSigns small
      = { .loop_ms = 900, .hello_ms = 1500, .reply_ms = 1000, .able = false };

  (void) state;
  assert_int_equal (time_to (usual, MUX_HANDOVER_NONE), FOREVER_MS);
  assert_int_equal (time_to (workers, MUX_HANDOVER_NONE), FOREVER_MS);
  assert_int_equal (time_to (small, MUX_HANDOVER_NONE), FOREVER_MS);
}

/* A burst that is over soon, again and again, must not add up. */
static void
test_short_bursts_do_not_add_up (void **state)
{
  MuxImpairmentSigns burst = { .loop_ms = 1500, .able = true };
  MuxImpairmentSigns calm = { .loop_ms = 0, .able = true };
  MuxImpairment impairment = { .updated_ms = 0 };
  int64_t now_ms = 1000;

  (void) state;
  for (uint32_t i = 0; i < 50; i++)
    {
      assert_int_equal (feed (&impairment, &now_ms, 2500, burst),
                        MUX_HANDOVER_NONE);
      assert_int_equal (feed (&impairment, &now_ms, 3000, calm),
                        MUX_HANDOVER_NONE);
    }
}

/* What lay in the queue of a process that was paused is no lasting sign. */
static void
test_pause_begins_the_observation_anew (void **state)
{
  MuxImpairmentSigns slow = { .loop_ms = 1000, .able = true };
  MuxImpairment impairment = { .updated_ms = 0 };
  int64_t now_ms = 1000;

  (void) state;
  assert_int_equal (feed (&impairment, &now_ms, 3500, slow), MUX_HANDOVER_NONE);
  now_ms += 5000;
  assert_int_equal (feed (&impairment, &now_ms, 3500, slow), MUX_HANDOVER_NONE);
}

static void
add (MuxHandovers *handovers,
     const char *from,
     MuxHandoverReason reason,
     int64_t at_ms)
{
  MuxHandover handover = { .reason = reason, .at_ms = at_ms };

  snprintf (handover.from, sizeof handover.from, "%s", from);
  mux_handovers_add (handovers, &handover);
}

static void
test_at_most_two_handovers_a_minute (void **state)
{
  MuxHandovers handovers = { .count = 0 };

  (void) state;
  assert_true (mux_handovers_allow (&handovers, MUX_HANDOVER_ABILITY, 1000));
  add (&handovers, "a", MUX_HANDOVER_ABILITY, 1000);
  assert_true (mux_handovers_allow (&handovers, MUX_HANDOVER_ABILITY, 2000));
  add (&handovers, "b", MUX_HANDOVER_LATE, 2000);
  assert_false (mux_handovers_allow (&handovers, MUX_HANDOVER_ABILITY, 60000));
  assert_true (mux_handovers_allow (&handovers, MUX_HANDOVER_ABILITY, 61000));
}

/* If load impairs each planner alike, the claim would go round. */
static void
test_impairment_that_follows_the_claim_causes_no_second_handover (void **state)
{
  MuxHandovers handovers = { .count = 0 };

  (void) state;
  add (&handovers, "a", MUX_HANDOVER_LATE, 1000);
  assert_false (mux_handovers_allow (&handovers, MUX_HANDOVER_LATE, 8000));
  assert_true (mux_handovers_allow (&handovers, MUX_HANDOVER_LINK, 8000));
  assert_true (mux_handovers_allow (&handovers, MUX_HANDOVER_LATE, 61000));
}

static void
test_none_to_one_that_left_for_the_same_reason (void **state)
{
  MuxHandovers handovers = { .count = 0 };

  (void) state;
  add (&handovers, "a", MUX_HANDOVER_LINK, 1000);
  assert_true (
      mux_handovers_exclude (&handovers, "a", MUX_HANDOVER_LINK, 60000));
  assert_false (
      mux_handovers_exclude (&handovers, "a", MUX_HANDOVER_LATE, 60000));
  assert_false (
      mux_handovers_exclude (&handovers, "b", MUX_HANDOVER_LINK, 60000));
  assert_false (
      mux_handovers_exclude (&handovers, "a", MUX_HANDOVER_LINK, 61000));
}

static void
test_only_the_last_handovers_are_kept (void **state)
{
  MuxHandovers handovers = { .count = 0 };

  (void) state;
  for (int64_t i = 0; i < 20; i++)
    add (&handovers, i < 17 ? "early" : "late", MUX_HANDOVER_LINK, i);
  assert_int_equal (handovers.count, MUX_HANDOVERS_MAX);
  assert_int_equal (handovers.item[0].at_ms, 20 - MUX_HANDOVERS_MAX);
  assert_string_equal (handovers.item[MUX_HANDOVERS_MAX - 1].from, "late");
}

static void
test_reason_names_are_read_back (void **state)
{
  (void) state;
  for (int i = MUX_HANDOVER_NONE; i < MUX_HANDOVER_REASON_COUNT; i++)
    assert_int_equal (mux_handover_reason_parse (
                          mux_handover_reason_name ((MuxHandoverReason) i)),
                      i);
  assert_int_equal (mux_handover_reason_parse ("whim"), MUX_HANDOVER_NONE);
  assert_int_equal (mux_handover_reason_parse (NULL), MUX_HANDOVER_NONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lasting_signs_are_an_impairment),
    cmocka_unit_test (test_usual_signs_are_none),
    cmocka_unit_test (test_short_bursts_do_not_add_up),
    cmocka_unit_test (test_pause_begins_the_observation_anew),
    cmocka_unit_test (test_at_most_two_handovers_a_minute),
    cmocka_unit_test (
        test_impairment_that_follows_the_claim_causes_no_second_handover),
    cmocka_unit_test (test_none_to_one_that_left_for_the_same_reason),
    cmocka_unit_test (test_only_the_last_handovers_are_kept),
    cmocka_unit_test (test_reason_names_are_read_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
