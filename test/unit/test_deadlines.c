#include "base/deadlines.h"

#include "support/random.h"
#include "support/test.h"

#define ENTRIES 500
#define STEPS 20000
#define TIMES 300

static MuxDeadline entry[ENTRIES];

static const MuxDeadline *
earliest (void)
{
  const MuxDeadline *first = NULL;

  for (uint32_t i = 0; i < ENTRIES; i++)
    if (entry[i].added
        && (first == NULL || entry[i].at_ms < first->at_ms
            || (entry[i].at_ms == first->at_ms && entry[i].seq < first->seq)))
      first = &entry[i];
  return first;
}

/* Guards against a deadline that is passed over: after each random addition or
 * removal the earliest one is first, of equal ones that added first. */
static void
test_first_is_earliest_after_each_change (void **state)
{
  MuxDeadlines set = { 0 };
  MuxRandom random = { 1 };

  (void) state;
  for (uint32_t step = 0; step < STEPS; step++)
    {
      MuxDeadline *any = &entry[mux_random_below (&random, ENTRIES)];

      if (any->added)
        mux_deadlines_remove (&set, any);
      else
        mux_deadlines_add (&set, any, mux_random_below (&random, TIMES));
      assert_ptr_equal (set.first, earliest ());
    }
  while (set.first != NULL)
    {
      assert_ptr_equal (set.first, earliest ());
      mux_deadlines_remove (&set, set.first);
    }
  assert_null (earliest ());
}

/* Guards against a second removal that damages the set. */
static void
test_removing_twice_changes_nothing (void **state)
{
  MuxDeadlines set = { 0 };
  MuxDeadline first = { 0 };
  MuxDeadline second = { 0 };

  (void) state;
  mux_deadlines_add (&set, &first, 1);
  mux_deadlines_add (&set, &second, 2);
  mux_deadlines_remove (&set, &first);
  mux_deadlines_remove (&set, &first);
  assert_int_equal (mux_deadlines_next_ms (&set), 2);
  mux_deadlines_remove (&set, &second);
  assert_true (mux_deadlines_next_ms (&set) == INT64_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_is_earliest_after_each_change),
    cmocka_unit_test (test_removing_twice_changes_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
