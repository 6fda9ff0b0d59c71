#ifndef SUPPORT_SPEED_PLAY_H
#define SUPPORT_SPEED_PLAY_H

#include "src/cell/cell_private.h"
#include "support/cell_world.h"
#include "support/random.h"

/* Steps and gangs on workers of two speeds that nothing names, or of one, and
 * what the planner assumes of these. */

#define SPEED_CELLS 2
#define SPEED_WORKERS 24
#define SPEED_TASKS 8
#define SPEED_CPU_MILLI 15000
#define SPEED_TASK_MS 1200
#define SPEED_ESTIMATE_MS 1000
#define SPEED_FAST_MILLI 1640

/**
 * struct SpeedPlay - a simulated cluster with load
 * @world: the cluster; owned
 * @random: of the load
 * @jobs: submitted so far
 * @gangs: the load are gangs
 */
typedef struct
{
  World *world;
  MuxRandom random;
  uint32_t jobs;
  bool gangs;
} SpeedPlay;

/** speed_play_new() - creates a cluster in which every third worker is fast; if
 * not @two_speeds, they are uniform */
SpeedPlay speed_play_new (uint64_t seed, bool two_speeds);
/** speed_play_load() - runs it for @ms with some 70% of the room in use */
void speed_play_load (SpeedPlay *play, int64_t ms);
/** speed_play_is_fast() - whether the worker of that number is */
bool speed_play_is_fast (uint32_t worker);
/** speed_play_worker() - returns the planner's record of the worker */
CellWorker *speed_play_worker (const SpeedPlay *play, uint32_t worker);
/** speed_play_milli() - returns the speed that the planner assumes of it */
uint32_t speed_play_milli (const SpeedPlay *play, uint32_t worker);
/** speed_play_misjudged() - counts the workers whose assumed speed is not of
 * their class */
uint32_t speed_play_misjudged (const SpeedPlay *play);
/** speed_play_print() - prints speed, its logarithm and runs of all workers */
void speed_play_print (const SpeedPlay *play, const char *what);

#endif
