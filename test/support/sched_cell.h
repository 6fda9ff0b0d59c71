#ifndef SUPPORT_SCHED_CELL_H
#define SUPPORT_SCHED_CELL_H

#include "policy/sched.h"

/* A scheduler (policy/sched.h) with workers of 4 slots, 8 cores and 16 GiB, two
 * to a rack, and classes of 1 core and 1 GiB by default. */

typedef struct
{
  MuxSched *sched;
  int64_t now_ms;
  uint64_t next_id;
} Cell;

/** cell_set_up() - set-up for cmocka; *@state is a Cell that the test opens */
int cell_set_up (void **state);
int cell_tear_down (void **state);
#define CELL_TEST(test) \
  cmocka_unit_test_setup_teardown (test, cell_set_up, cell_tear_down)

/** cell_open() - creates the scheduler and its workers */
void cell_open (Cell *cell, uint32_t workers);
void cell_close (Cell *cell);
/** cell_class() - returns the default class, to start within @within_ms */
MuxClassSpec cell_class (const char *name, MuxKind kind, uint32_t within_ms);
/** cell_set() - configures a class */
void cell_set (Cell *cell, const MuxClassSpec *spec);
/** sched_cell_submit() - submits a task that expires after a minute; asserts
 * that it is admitted */
MuxId sched_cell_submit (Cell *cell, const char *class_name);
/** sched_cell_submit_until() - submits a task that expires after @give_up_ms;
 * @verdict receives the result of admission control */
MuxId sched_cell_submit_until (Cell *cell,
                               const char *class_name,
                               int64_t give_up_ms,
                               MuxAdmitResult *verdict);
/** cell_gang() - submits @count tasks of one gang
 * Return: the id of the first; the others' follow in order */
MuxId cell_gang (Cell *cell, const char *class_name, uint32_t count);
/** cell_place() - returns the next decision; asserts that it is a placement */
MuxPlacement cell_place (Cell *cell);
/** cell_start_run() - submits a task and places it */
MuxPlacement cell_start_run (Cell *cell, const char *class_name);
/** cell_idle() - asserts that nothing can be decided now */
void cell_idle (Cell *cell);
/** cell_end() - reports that a task succeeded after @ran_ms */
void cell_end (Cell *cell, MuxId task, uint32_t ran_ms);
/** cell_fail() - reports that a task failed after 10 ms */
void cell_fail (Cell *cell, MuxId task);

#endif
