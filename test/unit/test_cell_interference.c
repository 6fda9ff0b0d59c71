#include "support/cell_world.h"
#include "support/test.h"

/* Kinds of tasks that slow each other on a worker: the planner finds them and
 * keeps them apart, where there is room, and only there. */

#define CELLS 3
#define WORKERS 6
#define CPU_MILLI 4000
#define SLOWED_MILLI 1300
/* A run of the first queue, and of the other, which outlasts it. */
#define TASK_MS 1000
#define OTHER_MS 4000
/* A job of the first queue each EACH_MS, of the other each OTHER_EVERY of
 * these: some 14 runs at a time of a room of 48. */
#define EACH_MS 100
#define OTHER_EVERY 10
#define WARM_ROUNDS 1200
#define ROUNDS 100
#define DRAIN_MS 8000

static World *
new_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world_run (world, 2000);
  world->times_at_submit = true;
  return world;
}

static void
submit (World *world, bool other, const char *id)
{
  MuxJobSpec *job = world_job (1, 1, CPU_MILLI);
  uint32_t cell = 0;

  while (world->cell[cell].dead)
    cell++;
  job->step[0].estimate_ms = other ? OTHER_MS : TASK_MS;
  world->task_ms = other ? OTHER_MS : TASK_MS;
  (void) world_submit (world, cell, job, id);
}

/* Submits jobs of both kinds for a number of rounds.
 * @two_queues: each kind in a queue of its own */
static void
play (World *world, const char *name, uint32_t rounds, bool two_queues)
{
  char id[MUX_JOB_ID_LEN];

  for (uint32_t i = 0; i < rounds; i++)
    {
      snprintf (id, sizeof id, "%s-%u", name, i);
      world->queue[0] = 0;
      submit (world, false, id);
      if (i % OTHER_EVERY == 0)
        {
          snprintf (id, sizeof id, "%s-other-%u", name, i);
          snprintf (world->queue, sizeof world->queue, "%s",
                    two_queues ? "other" : "");
          submit (world, true, id);
        }
      world_run (world, EACH_MS);
    }
  world_run (world, DRAIN_MS);
}

static bool
is_of (const WorldStart *start, const char *prefix)
{
  return strncmp (start->task.job, prefix, strlen (prefix)) == 0;
}

/* Return: the starts from @first on that began on a worker with a run of the
 * other kind. */
static uint32_t
starts_together (const World *world, uint32_t first, const char *name)
{
  char other[MUX_JOB_ID_LEN];
  uint32_t together = 0;

  snprintf (other, sizeof other, "%s-other-", name);
  for (uint32_t i = first; i < world->start_count; i++)
    {
      const WorldStart *a = &world->start[i];
      bool beside = false;

      for (uint32_t j = first; j < i; j++)
        {
          const WorldStart *b = &world->start[j];

          beside = beside
                   || (b->worker == a->worker && b->ended_ms > a->at_ms
                       && is_of (a, other) != is_of (b, other));
        }
      together += beside;
    }
  return together;
}

static World *
learned_world (void)
{
  World *world = new_world ();

  world_add_queue (world);
  world_run (world, 1000);
  world->slowed_milli = SLOWED_MILLI;
  play (world, "warm", WARM_ROUNDS, true);
  return world;
}

/* Guards against kinds that keep slowing each other while there is room to run
 * them apart. */
static void
test_kinds_that_slow_each_other_are_kept_apart (void **state)
{
  World *world = learned_world ();
  uint32_t first = world->start_count;
  uint32_t before = starts_together (world, 0, "warm");

  (void) state;
  assert_int_equal (world_logged (world, "interference_found"), 1);
  assert_int_equal (world_logged (world, "interference_dropped"), 0);
  play (world, "later", ROUNDS, true);
  print_message ("together: %u of %u starts while learning, %u of %u after\n",
                 before, first, starts_together (world, first, "later"),
                 world->start_count - first);
  assert_true (before > 20);
  assert_int_equal (starts_together (world, first, "later"), 0);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_STARTS_APART)
               >= ROUNDS);
  world_free (world);
}

/* Guards against a task that waits for a worker without the other kind. */
static void
test_without_other_room_nothing_waits (void **state)
{
  World *world = learned_world ();
  char id[MUX_JOB_ID_LEN];
  int64_t sent_ms;

  (void) state;
  /* 30 of 48 places, on all workers. */
  for (uint32_t i = 0; i < 30; i++)
    {
      snprintf (id, sizeof id, "fill-%u", i);
      snprintf (world->queue, sizeof world->queue, "other");
      submit (world, true, id);
    }
  world_run (world, 500);
  sent_ms = world->now_ms;
  for (uint32_t i = 0; i < 18; i++)
    {
      snprintf (id, sizeof id, "late-%u", i);
      world->queue[0] = 0;
      submit (world, false, id);
    }
  world_run (world, 500);
  for (uint32_t i = 0; i < 18; i++)
    {
      snprintf (id, sizeof id, "late-%u", i);
      assert_true (world_first_start_ms (world, id) <= sent_ms + 500);
    }
  assert_true (mux_counter_value (world->counters, MUX_COUNT_STARTS_BESIDE)
               > 0);
  world_free (world);
}

/* Guards against a change of placement where nothing was found: two queues
 * without an effect are placed like one. */
static void
test_without_effect_placement_is_the_same (void **state)
{
  World *one = new_world ();
  World *two = new_world ();

  (void) state;
  world_add_queue (one);
  world_add_queue (two);
  world_run (one, 1000);
  world_run (two, 1000);
  play (one, "job", ROUNDS, false);
  play (two, "job", ROUNDS, true);
  assert_int_equal (world_logged (two, "interference_found"), 0);
  assert_int_equal (one->start_count, two->start_count);
  for (uint32_t i = 0; i < one->start_count; i++)
    {
      assert_string_equal (one->start[i].task.job, two->start[i].task.job);
      assert_int_equal (one->start[i].worker, two->start[i].worker);
      assert_int_equal (one->start[i].at_ms, two->start[i].at_ms);
    }
  world_free (one);
  world_free (two);
}

/* Guards against a next planner that has to find the pairs again. */
static void
test_next_planner_knows_the_pairs (void **state)
{
  World *world = learned_world ();
  uint32_t planner = world_planner (world);
  uint32_t first;

  (void) state;
  world_cell_kill (world, planner);
  world_run (world, 8000);
  assert_true (world_planner (world) < WORLD_CELLS_MAX);
  assert_int_not_equal (world_planner (world), planner);
  first = world->start_count;
  play (world, "later", ROUNDS, true);
  assert_true (world->start_count - first >= ROUNDS);
  assert_int_equal (starts_together (world, first, "later"), 0);
  assert_int_equal (world_logged (world, "interference_found"), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kinds_that_slow_each_other_are_kept_apart),
    cmocka_unit_test (test_without_other_room_nothing_waits),
    cmocka_unit_test (test_without_effect_placement_is_the_same),
    cmocka_unit_test (test_next_planner_knows_the_pairs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
