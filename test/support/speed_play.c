#include "support/speed_play.h"

#include "support/test.h"

#define SLOW_MILLI 683
#define GANG_MS 3000
#define STRAGGLERS_PERCENT 3
#define STRAGGLER_FACTOR 7
#define STEP_MS 100

bool
speed_play_is_fast (uint32_t worker)
{
  return worker % 3 == 0;
}

SpeedPlay
speed_play_new (uint64_t seed, bool two_speeds)
{
  SpeedPlay play = { .world = world_new (SPEED_CELLS, SPEED_WORKERS),
                     .random = { .state = seed } };

  world_skip_approval (play.world);
  for (uint32_t i = 0; two_speeds && i < SPEED_WORKERS; i++)
    play.world->worker[i].speed_milli
        = speed_play_is_fast (i) ? SPEED_FAST_MILLI : SLOW_MILLI;
  for (uint32_t i = 0; !two_speeds && i < SPEED_WORKERS; i++)
    play.world->worker[i].speed_milli
        = 950 + mux_random_below (&play.random, 110);
  return play;
}

/* The declared time is off by up to 40% either way, and some jobs take seven
 * times as long. */
static void
submit (SpeedPlay *play)
{
  MuxJobSpec *job = world_job (1, SPEED_TASKS, SPEED_CPU_MILLI);
  char id[MUX_JOB_ID_LEN];

  play->world->times_at_submit = true;
  play->world->task_ms = (play->gangs ? GANG_MS : SPEED_TASK_MS)
                         * (700 + mux_random_below (&play->random, 700)) / 1000;
  if (mux_random_below (&play->random, 100) < STRAGGLERS_PERCENT)
    play->world->task_ms *= STRAGGLER_FACTOR;
  job->step[0].gang = play->gangs;
  job->step[0].estimate_ms = play->gangs ? GANG_MS : SPEED_ESTIMATE_MS;
  snprintf (id, sizeof id, "job-%u", play->jobs++);
  (void) world_submit (play->world, play->jobs % SPEED_CELLS, job, id);
}

/* Keeps some 70% of the room in use. */
void
speed_play_load (SpeedPlay *play, int64_t ms)
{
  for (int64_t i = 0; i < ms / STEP_MS; i++)
    {
      if (i % (play->gangs ? 12 : 4) == 0)
        submit (play);
      world_run (play->world, STEP_MS);
    }
}

CellWorker *
speed_play_worker (const SpeedPlay *play, uint32_t number)
{
  uint32_t planner = world_planner (play->world);
  CellWorker *worker;

  assert_true (planner < SPEED_CELLS);
  worker = cell_worker_find (play->world->cell[planner].cell,
                             play->world->worker[number].info.id);
  assert_non_null (worker);
  return worker;
}

uint32_t
speed_play_milli (const SpeedPlay *play, uint32_t worker)
{
  return cell_worker_speed_milli (speed_play_worker (play, worker));
}

/* Return: workers whose assumed speed is on the wrong side of the mean. */
uint32_t
speed_play_misjudged (const SpeedPlay *play)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < SPEED_WORKERS; i++)
    {
      uint32_t milli = speed_play_milli (play, i);

      count += speed_play_is_fast (i) ? milli < 1150 : milli > 850;
    }
  return count;
}

void
speed_play_print (const SpeedPlay *play, const char *what)
{
  print_message ("%s:", what);
  for (uint32_t i = 0; i < SPEED_WORKERS; i++)
    print_message (" %u/%.2f/%u", speed_play_milli (play, i),
                   speed_play_worker (play, i)->speed.mean,
                   speed_play_worker (play, i)->speed.runs);
  print_message ("\n");
}
