#ifndef SUPPORT_SCHED_CELL_H
#define SUPPORT_SCHED_CELL_H

#include "policy/sched.h"

/* A small cell for tests of the scheduler: workers of 4 slots, 8 cores and
 * 16 GiB, two to a rack; classes of 1 core and 1 GiB unless said otherwise. */

typedef struct
{
  MuxSched *sched;
  int64_t now_ms;
  uint64_t next_id;
} Cell;

/** cell_set_up() - for cmocka; *@state is a Cell for the test to open */
int cell_set_up (void **state);
int cell_tear_down (void **state);
#define CELL_TEST(test) \
  cmocka_unit_test_setup_teardown (test, cell_set_up, cell_tear_down)

void cell_open (Cell *cell, uint32_t workers);
void cell_close (Cell *cell);
MuxClassSpec cell_class (const char *name, MuxKind kind, uint32_t within_ms);
void cell_set (Cell *cell, const MuxClassSpec *spec);
/** cell_ask() - ask for one task that gives up after a minute */
MuxId cell_ask (Cell *cell, const char *class_name);
/** cell_ask_for() - the same with a time to give up; the verdict is @verdict */
MuxId cell_ask_for (Cell *cell,
                    const char *class_name,
                    int64_t give_up_ms,
                    MuxAdmitResult *verdict);
/** cell_gang() - ask for @count tasks of one gang; returns the first's id, the
 * others follow in order */
MuxId cell_gang (Cell *cell, const char *class_name, uint32_t count);
/** cell_place() - the next decision; asserts that it is a placement */
MuxPlacement cell_place (Cell *cell);
/** cell_start() - ask for one task and place it */
MuxPlacement cell_start_run (Cell *cell, const char *class_name);
/** cell_idle() - asserts that nothing can be decided now */
void cell_idle (Cell *cell);
/** cell_end() - it ran well for @ran_ms */
void cell_end (Cell *cell, MuxId task, uint32_t ran_ms);
/** cell_fail() - it failed after 10 ms */
void cell_fail (Cell *cell, MuxId task);

#endif
