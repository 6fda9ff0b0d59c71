#include "policy/sched.h"
#include "support/test.h"

/* Runs a seeded random sequence of operations and compares the scheduler's
 * accounting after each one with a naive model that keeps plain arrays and
 * recomputes every sum. */

#define WORKERS 24
#define TASKS 300
#define CLASSES 4
#define GANG_SIZE 5
#define OPERATIONS 100000

typedef enum
{
  ABSENT,
  WAITING,
  BOOKED,
} State;

typedef struct
{
  State state;
  uint32_t class_id;
  uint32_t gang; /* 0: not in a gang */
  uint32_t worker;
  MuxSize size;
  int64_t give_up_ms;
} ModelTask;

typedef struct
{
  bool present;
  bool usable;
  MuxSize capacity;
} ModelWorker;

typedef struct
{
  MuxSched *sched;
  uint64_t random;
  int64_t now_ms;
  ModelWorker worker[WORKERS];
  ModelTask task[TASKS];
  MuxSize declared[CLASSES];
  MuxSize most[CLASSES]; /* highest declared or reported, by resource */
  uint32_t next_gang;
  uint32_t placed;
  uint32_t dropped;
  uint32_t gangs_placed;
} Model;

static uint32_t
draw (Model *m, uint32_t below)
{
  m->random ^= m->random << 13;
  m->random ^= m->random >> 7;
  m->random ^= m->random << 17;
  return (uint32_t) ((m->random >> 11) % below);
}

static MuxId
task_id (uint32_t t)
{
  return (MuxId){ 7, t + 1 };
}

static MuxSize
draw_size (Model *m, uint32_t scale)
{
  return (MuxSize){ .cpu_milli = 100 * (1 + draw (m, 20 * scale)),
                    .mem_mib = 64 * (1 + draw (m, 40 * scale)),
                    .accels = draw (m, 4) == 0 ? draw (m, 1 + scale) : 0,
                    .slots = scale == 1 ? 1 : 1 + draw (m, 8) };
}

static const char *const class_names[CLASSES]
    = { "booking", "settle", "forecast", "desk" };

static uint32_t
most (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static void
note_size (Model *m, uint32_t c, MuxSize size)
{
  m->most[c] = (MuxSize){ most (m->most[c].cpu_milli, size.cpu_milli),
                          most (m->most[c].mem_mib, size.mem_mib),
                          most (m->most[c].accels, size.accels), 1 };
}

static void
set_class (Model *m, uint32_t c)
{
  MuxClassSpec spec = { .product = "p",
                        .kind = c == 2 ? MUX_KIND_GANG : MUX_KIND_SERVICE,
                        .start_within_ms = 100,
                        .start_share_ppm = 990000,
                        .run_ms = 100 };

  m->declared[c] = draw_size (m, 1);
  note_size (m, c, m->declared[c]);
  spec.size = m->declared[c];
  mux_name_copy (spec.name, class_names[c]);
  assert_true (mux_sched_class_set (m->sched, &spec));
}

static uint64_t
sum_booked (const Model *m, uint32_t w, uint64_t sum[4])
{
  uint64_t n = 0;

  memset (sum, 0, 4 * sizeof *sum);
  for (uint32_t t = 0; t < TASKS; t++)
    if (m->task[t].state == BOOKED && m->task[t].worker == w)
      {
        sum[0] += m->task[t].size.cpu_milli;
        sum[1] += m->task[t].size.mem_mib;
        sum[2] += m->task[t].size.accels;
        sum[3] += m->task[t].size.slots;
        n++;
      }
  return n;
}

static uint32_t
left (uint32_t capacity, uint64_t booked)
{
  return booked < capacity ? (uint32_t) (capacity - booked) : 0;
}

static MuxSize
model_free (const Model *m, uint32_t w)
{
  const MuxSize *cap = &m->worker[w].capacity;
  uint64_t sum[4];

  sum_booked (m, w, sum);
  return (MuxSize){ left (cap->cpu_milli, sum[0]), left (cap->mem_mib, sum[1]),
                    left (cap->accels, sum[2]), left (cap->slots, sum[3]) };
}

static void
check_books (const Model *m)
{
  MuxSchedStats stats = mux_sched_stats (m->sched, m->now_ms);
  MuxSize total = { 0 };
  MuxSize room = { 0 };
  uint32_t booked = 0;
  uint32_t waiting = 0;

  for (uint32_t w = 0; w < WORKERS; w++)
    {
      if (!m->worker[w].present)
        continue;

      MuxSize want = model_free (m, w);
      MuxSize have = mux_sched_worker_free (m->sched, w);

      assert_memory_equal (&want, &have, sizeof want);
      if (!m->worker[w].usable)
        continue;
      total = mux_size_add (total, m->worker[w].capacity);
      room = mux_size_add (room, want);
    }
  for (uint32_t t = 0; t < TASKS; t++)
    {
      booked += m->task[t].state == BOOKED;
      waiting += m->task[t].state == WAITING;
    }
  assert_memory_equal (&stats.total, &total, sizeof total);
  assert_memory_equal (&stats.free, &room, sizeof room);
  assert_int_equal (stats.booked, booked);
  assert_int_equal (stats.queued, waiting);
}

static void
add_worker (Model *m)
{
  MuxSize capacity = draw_size (m, 8);
  uint32_t present = 0;

  for (uint32_t w = 0; w < WORKERS; w++)
    present += m->worker[w].present;
  if (present == WORKERS)
    return;

  uint32_t w = mux_sched_worker_add (m->sched, "w", "r", capacity);

  assert_true (w < WORKERS);
  assert_false (m->worker[w].present);
  m->worker[w] = (ModelWorker){ true, true, capacity };
}

static void
change_worker (Model *m)
{
  uint32_t w = draw (m, WORKERS);
  ModelWorker *worker = &m->worker[w];

  if (!worker->present)
    return;
  switch (draw (m, 8))
    {
    case 0:
      mux_sched_worker_remove (m->sched, w);
      worker->present = false;
      for (uint32_t t = 0; t < TASKS; t++)
        if (m->task[t].state == BOOKED && m->task[t].worker == w)
          m->task[t].state = ABSENT;
      break;
    case 1:
    case 2:
      worker->capacity = draw_size (m, 8);
      mux_sched_worker_resize (m->sched, w, worker->capacity);
      break;
    default:
      worker->usable = draw (m, 4) != 0;
      mux_sched_worker_set_usable (m->sched, w, worker->usable);
      break;
    }
}

static MuxReason
submit (Model *m, uint32_t t, uint32_t c, uint32_t gang)
{
  MuxTaskRequest ask
      = { .task = task_id (t),
          .class_name = class_names[c],
          .start_by_ms = m->now_ms + draw (m, 200),
          .expires_ms = m->now_ms + 1 + draw (m, gang != 0 ? 20000 : 2000),
          .avoid = MUX_NO_WORKER };

  if (gang != 0)
    {
      ask.group = (MuxId){ 9, gang };
      ask.group_count = GANG_SIZE;
    }
  if (draw (m, 8) == 0)
    ask.avoid = draw (m, WORKERS);

  MuxReason reason = mux_sched_submit (m->sched, &ask, m->now_ms).reason;

  if (m->task[t].state != ABSENT)
    {
      assert_int_equal (reason, MUX_REASON_KEY_IN_USE);
      return reason;
    }
  if (reason == MUX_REASON_NONE)
    m->task[t] = (ModelTask){ .state = WAITING,
                              .class_id = c,
                              .gang = gang,
                              .give_up_ms = ask.expires_ms };
  return reason;
}

static void
submit_gang (Model *m)
{
  uint32_t gang = ++m->next_gang;
  uint32_t asked = 0;
  uint32_t absent = 0;

  for (uint32_t t = 0; t < TASKS; t++)
    absent += m->task[t].state == ABSENT;
  /* A few gangs stay incomplete: their members wait in the queue until
   * they expire. */
  if (absent < GANG_SIZE && draw (m, 50) != 0)
    return;

  for (uint32_t t = 0; t < TASKS && asked < GANG_SIZE; t++)
    if (m->task[t].state == ABSENT)
      {
        asked++;
        if (submit (m, t, 2, gang) != MUX_REASON_NONE)
          return;
      }
}

static void
check_placed (Model *m, uint32_t t, const MuxPlacement *p)
{
  ModelTask *task = &m->task[t];
  const MuxSize *need = &m->declared[task->class_id];

  assert_true (p->worker < WORKERS);
  assert_true (m->worker[p->worker].present && m->worker[p->worker].usable);
  assert_true (mux_size_fits (*need, p->size));
  /* At most what was free before: bookings never exceed capacity. */
  assert_true (mux_size_fits (p->size, model_free (m, p->worker)));
  task->state = BOOKED;
  task->worker = p->worker;
  task->size = p->size;
  m->placed++;
}

/* Returns how many tasks of a class the present workers could hold if they
 * were empty, each task as large as was ever declared or reported. */
static uint32_t
could_hold (const Model *m, uint32_t c)
{
  uint32_t count = 0;

  for (uint32_t w = 0; w < WORKERS; w++)
    {
      MuxSize free = m->worker[w].capacity;

      for (; m->worker[w].present && mux_size_fits (m->most[c], free); count++)
        free = mux_size_sub (free, m->most[c]);
    }
  return count;
}

static void
check_dropped (Model *m, uint32_t t, const MuxPlacement *p)
{
  int64_t give_up = m->task[t].give_up_ms;

  if (p->reason == MUX_REASON_NEVER_FITS)
    {
      assert_true (could_hold (m, m->task[t].class_id)
                   < (m->task[t].gang != 0 ? GANG_SIZE : 1));
      m->task[t].state = ABSENT;
      return;
    }
  assert_int_equal (p->reason, MUX_REASON_DEADLINE);
  for (uint32_t k = 0; m->task[t].gang != 0 && k < TASKS; k++)
    if (m->task[k].gang == m->task[t].gang && m->task[k].give_up_ms < give_up)
      give_up = m->task[k].give_up_ms;
  assert_true (give_up <= m->now_ms);
  m->task[t].state = ABSENT;
  m->dropped++;
}

static void
decide (Model *m)
{
  uint32_t gang = 0;
  uint32_t gang_left = 0;
  MuxPlacement p;

  for (uint32_t n = 0;
       n < TASKS * 2 && mux_sched_next (m->sched, m->now_ms, &p); n++)
    {
      uint32_t t = (uint32_t) p.task.lo - 1;

      assert_true (t < TASKS && m->task[t].state == WAITING);
      if (p.worker == MUX_NO_WORKER)
        {
          assert_int_equal (gang_left, 0);
          check_dropped (m, t, &p);
          continue;
        }
      if (gang_left > 0)
        assert_int_equal (m->task[t].gang, gang);
      else if (m->task[t].gang != 0)
        {
          gang = m->task[t].gang;
          gang_left = GANG_SIZE;
          m->gangs_placed++;
        }
      gang_left -= gang_left > 0;
      check_placed (m, t, &p);
    }
  assert_int_equal (gang_left, 0);
}

static void
end_one (Model *m)
{
  uint32_t t = draw (m, TASKS);
  bool booked = m->task[t].state == BOOKED;
  MuxSize used = m->task[t].size;
  MuxTaskEnd end = draw (m, 10) == 0 ? MUX_END_FAILED : MUX_END_OK;

  assert_int_equal (mux_sched_booked_on (m->sched, task_id (t)),
                    booked ? m->task[t].worker : MUX_NO_WORKER);
  if (booked && draw (m, 2) == 0)
    mux_sched_started (m->sched, task_id (t), m->now_ms);
  assert_int_equal (mux_sched_ended (m->sched, task_id (t), end, draw (m, 300),
                                     used, m->now_ms),
                    booked);
  if (booked)
    {
      note_size (m, m->task[t].class_id, used);
      m->task[t].state = ABSENT;
    }
}

static void
cancel_one (Model *m)
{
  uint32_t t = draw (m, TASKS);
  bool waits = m->task[t].state == WAITING;

  assert_int_equal (mux_sched_cancel (m->sched, task_id (t)), waits);
  if (waits)
    m->task[t].state = ABSENT;
}

static void
adopt_one (Model *m)
{
  uint32_t t = draw (m, TASKS);
  uint32_t w = draw (m, WORKERS);
  MuxSize size = draw_size (m, 1);

  assert_int_equal (mux_sched_adopt (m->sched, task_id (t),
                                     class_names[draw (m, CLASSES)], w, size),
                    m->worker[w].present);
  if (m->worker[w].present)
    m->task[t] = (ModelTask){ .state = BOOKED, .worker = w, .size = size };
}

static void
step (Model *m)
{
  uint32_t what = draw (m, 100);

  m->now_ms += draw (m, 4);
  if (what < 34)
    submit (m, draw (m, TASKS), draw (m, 2) * 3, 0);
  else if (what < 44)
    submit_gang (m);
  else if (what < 60)
    decide (m);
  else if (what < 90)
    end_one (m);
  else if (what < 94)
    cancel_one (m);
  else if (what < 95)
    adopt_one (m);
  else if (what < 97)
    add_worker (m);
  else if (what < 99)
    change_worker (m);
  else
    set_class (m, draw (m, CLASSES));
}

static void
test_random_operations (void **state)
{
  static Model m;
  MuxSchedOptions options = { .seed = 1, .queue_max = 400, .tasks_hint = 64 };

  (void) state;
  memset (&m, 0, sizeof m);
  m.random = 0x5eed;
  m.sched = mux_sched_new (&options);
  assert_non_null (m.sched);
  for (uint32_t c = 0; c < CLASSES; c++)
    set_class (&m, c);
  for (uint32_t i = 0; i < OPERATIONS; i++)
    {
      step (&m);
      check_books (&m);
    }
  print_message ("placed %u dropped %u gangs %u\n", m.placed, m.dropped,
                 m.gangs_placed);
  /* The run must have exercised each kind of operation. */
  assert_true (m.placed > 5000);
  assert_true (m.dropped > 500);
  assert_true (m.gangs_placed > 50);
  mux_sched_free (m.sched);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_random_operations) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
