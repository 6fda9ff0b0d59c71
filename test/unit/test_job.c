#include "model/job.h"

#include "support/test.h"

static MuxJobSpec *
full_job (void)
{
  MuxJobSpec *job = mux_job_new (2);

  snprintf (job->id, sizeof job->id, "5c0e7a21d94b36f8");
  snprintf (job->queue.name, sizeof job->queue.name, "nightly");
  snprintf (job->queue.service, sizeof job->queue.service, "booking");
  job->queue.priority = 2;
  job->queue.attempts_max = 4;
  job->queue.slack_milli = 2200;
  job->queue.target_ms = 1000;
  job->queue.approval = (MuxApprovalSpec){ true, 390000, 5500, 2500 };
  job->payload = strdup ("a \"text\" \xc3\xbc");
  job->accepted_wall_ms = 1700000000000;
  snprintf (job->data_centre, sizeof job->data_centre, "derby-a");
  job->first_due_ms = 1700000001000;
  job->repetitions = 3;
  job->interval_ms = 500;
  job->step[0].count = 4;
  job->step[0].size = (MuxSize){ 500, 256, 1, 0 };
  job->step[0].estimate_ms = 900;
  snprintf (job->step[0].label, MUX_NAME_LEN, "a");
  snprintf (job->step[0].data_rack, MUX_NAME_LEN, "r1-3");
  job->step[1] = job->step[0];
  job->step[1].after = 1;
  job->step[1].gang = true;
  job->step[1].checkpointing = true;
  job->step[1].rack_sensitive = true;
  job->step[1].copies_allowed = true;
  job->step[1].long_running = true;
  job->step[1].best_effort = true;
  job->step[1].per_worker_max = 2;
  job->step[1].unavailable_max = 3;
  return job;
}

static void
test_stored_form_is_read_back (void **state)
{
  MuxJobSpec *job = full_job ();
  json_t *json = mux_job_to_json (job);
  MuxFindings findings = { .count = 0 };
  MuxJobSpec *read = mux_job_from_json (json, &findings);

  (void) state;
  assert_non_null (read);
  assert_string_equal (read->id, job->id);
  assert_string_equal (read->payload, job->payload);
  assert_string_equal (read->queue.name, job->queue.name);
  assert_string_equal (read->queue.service, job->queue.service);
  assert_int_equal (read->queue.slack_milli, 2200);
  assert_memory_equal (&read->queue.approval, &job->queue.approval,
                       sizeof job->queue.approval);
  assert_int_equal (read->accepted_wall_ms, job->accepted_wall_ms);
  assert_string_equal (read->data_centre, job->data_centre);
  assert_int_equal (read->first_due_ms, job->first_due_ms);
  assert_int_equal (read->repetitions, 3);
  assert_int_equal (read->interval_ms, 500);
  assert_memory_equal (read->step, job->step, 2 * sizeof *job->step);
  mux_job_free (read);
  mux_job_free (job);
  json_decref (json);
}

/* Guards against a row with a long interval that another version reads as
 * another one, or that is not read back. */
static void
test_long_interval_is_stored_exactly (void **state)
{
  MuxJobSpec *job = full_job ();
  MuxFindings findings = { .count = 0 };
  json_t *json;
  MuxJobSpec *read;

  (void) state;
  job->interval_ms = MUX_WALL_MS_MAX;
  json = mux_job_to_json (job);
  assert_int_equal (json_integer_value (json_object_get (json, "interval_ms")),
                    MUX_WALL_MS_MAX);
  read = mux_job_from_json (json, &findings);
  assert_non_null (read);
  assert_true (read->interval_ms == MUX_WALL_MS_MAX);
  mux_job_free (read);
  json_object_set_new (json, "interval_ms", json_integer (MUX_WALL_MS_MAX + 1));
  assert_null (mux_job_from_json (json, &findings));
  assert_string_equal (findings.item[0].place, "interval_ms");
  json_decref (json);
  mux_job_free (job);
}

static json_t *
job_that_names (const char *named)
{
  MuxJobSpec *job = full_job ();
  json_t *json = mux_job_to_json (job);
  json_t *step = json_array_get (json_object_get (json, "steps"), 0);

  assert_int_equal (
      json_object_set_new (step, "named", json_loads (named, 0, NULL)), 0);
  mux_job_free (job);
  return json;
}

static void
test_named_workers_are_read_back (void **state)
{
  json_t *json = job_that_names ("[\"i-1\",\"i-2\"]");
  MuxFindings findings = { .count = 0 };
  MuxJobSpec *read = mux_job_from_json (json, &findings);
  json_t *again;

  (void) state;
  assert_non_null (read);
  assert_int_equal (read->step[0].named_count, 2);
  assert_string_equal (read->step[0].named[1], "i-2");
  again = mux_job_to_json (read);
  assert_true (json_equal (json, again));
  json_decref (again);
  json_decref (json);
  mux_job_free (read);
}

/* Guards against a run that is not searched for because its worker's name
 * was lost. */
static void
test_names_that_can_not_be_read_are_told (void **state)
{
  static const char *const wrong[] = { "{}", "[1]", "[\"i-1\",null]" };

  (void) state;
  for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
    {
      json_t *json = job_that_names (wrong[i]);
      MuxFindings findings = { .count = 0 };

      assert_null (mux_job_from_json (json, &findings));
      assert_true (findings.count > 0);
      json_decref (json);
    }
}

static void
test_what_is_wrong_is_told_together (void **state)
{
  MuxJobSpec *job = full_job ();
  MuxFindings findings = { .count = 0 };

  (void) state;
  job->id[0] = '/';
  job->step[0].count = 0;
  job->step[1].count = MUX_STEP_TASKS_MAX + 1;
  job->step[1].after = 2;
  assert_false (mux_job_check (job, &findings));
  assert_int_equal (findings.count, 4);
  assert_string_equal (findings.item[0].place, "id");
  assert_string_equal (findings.item[1].place, "steps[0]");
  mux_job_free (job);
}

static void
test_states_have_names (void **state)
{
  (void) state;
  for (uint32_t i = 0; i < MUX_JOB_STATE_COUNT; i++)
    {
      MuxJobState read = MUX_JOB_STATE_COUNT;

      assert_true (
          mux_job_state_parse (mux_job_state_name ((MuxJobState) i), &read));
      assert_int_equal (read, i);
    }
  assert_false (mux_job_state_parse ("odd", &(MuxJobState){ 0 }));
  assert_false (mux_job_state_parse (NULL, &(MuxJobState){ 0 }));
}

static void
test_core_time_counts_accelerators_and_has_a_bound (void **state)
{
  MuxJobSpec *job = full_job ();

  (void) state;
  /* Twice four tasks of half a core and an accelerator for 900 ms. */
  assert_int_equal (mux_job_core_ms (job), 2 * 4 * 8.5 * 900);
  job->step[1].size.cpu_milli = UINT32_MAX;
  job->step[1].estimate_ms = UINT32_MAX;
  job->step[1].count = UINT32_MAX;
  assert_true (mux_job_core_ms (job) == INT64_MAX);
  mux_job_free (job);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stored_form_is_read_back),
    cmocka_unit_test (test_long_interval_is_stored_exactly),
    cmocka_unit_test (test_named_workers_are_read_back),
    cmocka_unit_test (test_names_that_can_not_be_read_are_told),
    cmocka_unit_test (test_what_is_wrong_is_told_together),
    cmocka_unit_test (test_states_have_names),
    cmocka_unit_test (test_core_time_counts_accelerators_and_has_a_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
