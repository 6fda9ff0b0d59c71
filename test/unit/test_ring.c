#include "base/ring.h"
#include "support/test.h"

#include <pthread.h>

#define PRODUCERS 4
#define CONSUMERS 2
#define ITEMS 5000

typedef struct
{
  uint32_t producer;
  uint32_t number;
} Item;

typedef struct
{
  MuxRing *ring;
  uint32_t id;
  uint32_t taken;
  uint64_t sum;
} Duty;

static void
test_order_and_bound (void **state)
{
  int item[8];
  uint32_t pushed = 0;
  MuxRing *ring = mux_ring_new (8);

  (void) state;
  assert_non_null (ring);
  assert_null (mux_ring_pop (ring));
  while (pushed < 8 && mux_ring_push (ring, &item[pushed]))
    pushed++;
  assert_int_equal (pushed, 7);
  for (uint32_t i = 0; i < pushed; i++)
    assert_ptr_equal (mux_ring_wait (ring, -1), &item[i]);
  assert_null (mux_ring_pop (ring));
  mux_ring_free (ring);
}

static void
test_wake_returns_null (void **state)
{
  MuxRing *ring = mux_ring_new (8);

  (void) state;
  mux_ring_wake (ring, 1);
  assert_null (mux_ring_wait (ring, -1));
  mux_ring_free (ring);
}

static void *
produce (void *arg)
{
  Duty *duty = arg;

  for (uint32_t i = 1; i <= ITEMS; i++)
    {
      Item *item = malloc (sizeof *item);

      if (item == NULL)
        abort ();
      item->producer = duty->id;
      item->number = i;
      while (!mux_ring_push (duty->ring, item))
        ;
    }
  return NULL;
}

static void *
consume (void *arg)
{
  Duty *duty = arg;

  while (duty->taken < PRODUCERS * ITEMS / CONSUMERS)
    {
      Item *item = mux_ring_wait (duty->ring, -1);

      if (item == NULL)
        continue;
      duty->taken++;
      duty->sum += item->number;
      free (item);
    }
  return NULL;
}

/* Every item pushed is popped once; under ThreadSanitizer, the content
 * written before a push is visible to the thread that pops it. */
static void
test_many_threads (void **state)
{
  pthread_t thread[PRODUCERS + CONSUMERS];
  Duty duty[PRODUCERS + CONSUMERS] = { 0 };
  MuxRing *ring = mux_ring_new (64);
  uint64_t sum = 0;

  (void) state;
  for (uint32_t i = 0; i < PRODUCERS + CONSUMERS; i++)
    {
      duty[i].ring = ring;
      duty[i].id = i;
      assert_int_equal (pthread_create (&thread[i], NULL,
                                        i < PRODUCERS ? produce : consume,
                                        &duty[i]),
                        0);
    }
  for (uint32_t i = 0; i < PRODUCERS + CONSUMERS; i++)
    pthread_join (thread[i], NULL);
  for (uint32_t i = PRODUCERS; i < PRODUCERS + CONSUMERS; i++)
    sum += duty[i].sum;
  assert_int_equal (sum, (uint64_t) PRODUCERS * ITEMS * (ITEMS + 1) / 2);
  assert_null (mux_ring_pop (ring));
  mux_ring_free (ring);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order_and_bound),
    cmocka_unit_test (test_wake_returns_null),
    cmocka_unit_test (test_many_threads),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
