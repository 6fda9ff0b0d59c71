#include "model/workspace.h"

#include "support/test.h"

/* Keys, and sums of what workspaces have running. */

static MuxWorkspaces *
two_workspaces (void)
{
  MuxWorkspaces *made = mux_workspaces_new (2, 3);

  assert_non_null (made);
  made->count = 2;
  snprintf (made->item[0].name, MUX_NAME_LEN, "desk");
  snprintf (made->item[1].name, MUX_NAME_LEN, "night");
  made->key_count = 3;
  made->key[0] = (MuxWorkspaceKey){ { { 9 } }, 0 };
  made->key[1] = (MuxWorkspaceKey){ { { 3 } }, 1 };
  made->key[2] = (MuxWorkspaceKey){ { { 5 } }, 0 };
  return made;
}

static void
test_key_is_of_its_workspace_alone (void **state)
{
  MuxWorkspaces *made = two_workspaces ();
  MuxKeyDigest own = { { 3 } };
  MuxKeyDigest other = { { 4 } };

  (void) state;
  assert_true (mux_workspaces_sort (made));
  assert_string_equal (mux_workspace_of_key (made, &own)->name, "night");
  assert_null (mux_workspace_of_key (made, &other));
  mux_workspaces_free (made);
}

/* Guards against a key that is valid for two workspaces in turn. */
static void
test_key_of_two_workspaces_is_told (void **state)
{
  MuxWorkspaces *made = two_workspaces ();

  (void) state;
  made->key[1].digest = made->key[0].digest;
  assert_false (mux_workspaces_sort (made));
  mux_workspaces_free (made);
}

static void
test_copy_is_its_own (void **state)
{
  MuxWorkspaces *made = two_workspaces ();
  MuxWorkspaces *copy = mux_workspaces_copy (made);

  (void) state;
  mux_workspaces_free (made);
  assert_int_equal (copy->count, 2);
  assert_int_equal (copy->key_count, 3);
  assert_string_equal (copy->item[1].name, "night");
  mux_workspaces_free (copy);
}

static void
test_scarcest_dimension_counts (void **state)
{
  MuxQuota limit = { .cpu_milli = 10000, .mem_mib = 4096 };
  MuxQuota used = { .cpu_milli = 4000, .mem_mib = 3000, .accels = 7 };
  MuxSize task = { .cpu_milli = 1000, .mem_mib = 512, .accels = 1 };

  (void) state;
  assert_int_equal (mux_quota_tasks_left (limit, (MuxQuota){ 0 }, task), 8);
  assert_int_equal (mux_quota_tasks_left (limit, used, task), 2);
  assert_int_equal (mux_quota_dominant_share_ppm (limit, used), 732421);
  used.mem_mib = 5000;
  assert_int_equal (mux_quota_tasks_left (limit, used, task), 0);
}

static void
test_limit_of_zero_is_none (void **state)
{
  MuxQuota used = { .cpu_milli = 1, .mem_mib = 1, .accels = 1 };
  MuxSize task = { .cpu_milli = 1000, .mem_mib = 512, .accels = 1 };

  (void) state;
  assert_int_equal (mux_quota_tasks_left ((MuxQuota){ 0 }, used, task),
                    UINT32_MAX);
  assert_int_equal (mux_quota_dominant_share_ppm ((MuxQuota){ 0 }, used), 0);
}

static void
test_sums_come_back_to_nothing (void **state)
{
  MuxSize task = { .cpu_milli = 4000000, .mem_mib = 13000, .accels = 2 };
  MuxQuota sum = mux_quota_add ((MuxQuota){ 0 }, task, 4096);

  (void) state;
  assert_true (sum.cpu_milli == UINT64_C (4000000) * 4096);
  sum = mux_quota_sub (sum, task, 4096);
  assert_true (sum.cpu_milli == 0 && sum.mem_mib == 0 && sum.accels == 0);
}

static void
test_widened_limit (void **state)
{
  MuxQuota limit
      = mux_quota_raise ((MuxQuota){ .cpu_milli = 1000, .mem_mib = 50 }, 100);

  (void) state;
  assert_int_equal (limit.cpu_milli, 1100);
  assert_int_equal (limit.mem_mib, 55);
  assert_int_equal (limit.accels, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_is_of_its_workspace_alone),
    cmocka_unit_test (test_key_of_two_workspaces_is_told),
    cmocka_unit_test (test_copy_is_its_own),
    cmocka_unit_test (test_scarcest_dimension_counts),
    cmocka_unit_test (test_limit_of_zero_is_none),
    cmocka_unit_test (test_sums_come_back_to_nothing),
    cmocka_unit_test (test_widened_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
