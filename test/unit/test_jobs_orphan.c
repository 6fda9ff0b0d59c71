#include "support/fake_net.h"
#include "support/test.h"

#define SEED 7
/* Longer than the longest pause between two looks through the open jobs. */
#define LOOK_MS 130000
#define FIRST_LOOK_MS 10000
/* Until a daemon of another data centre is called dead, and a look. */
#define DEAD_MS 30000
/* Over all parts of the ids that are looked through by themselves, and more in
 * each than a page holds. */
#define JOBS (64 * 20)
#define PARTS 64
#define PART_SHIFT 58

/* The row of an open job whose home is @node in its present life. */
static void
put_row (FakeNet *net, uint32_t node, MuxId id)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, 1);
  MuxTableReply *reply;
  char hex[MUX_ID_HEX_LEN];
  char text[512];

  assert_non_null (call);
  mux_id_format (id, hex);
  snprintf (call->rows[0].key, sizeof call->rows[0].key, "job/open/%s", hex);
  snprintf (
      text, sizeof text,
      "{\"id\":\"%s\",\"class\":\"c\",\"task_count\":1,\"state\":\"open\","
      "\"cancel\":false,\"home\":\"%s\",\"home_incarnation\":%llu,"
      "\"object\":\"\",\"done\":0,\"failed\":0,\"at_ms\":1}",
      hex, net->nodes[node].name,
      (unsigned long long) net->nodes[node].incarnation);
  call->rows[0].value = mux_blob_new (text, strlen (text));
  reply = fake_table_call (&net->table, call);
  assert_int_equal (reply->status, MUX_TABLE_OK);
  mux_table_reply_free (reply);
  mux_table_call_free (call);
}

static uint64_t
adopted (const FakeNet *net, uint32_t node)
{
  return mux_counter_value (net->nodes[node].counters, MUX_COUNT_JOBS_ADOPTED);
}

/*
 * A submitter is told 202 and waits for ever.  The daemon that carried its
 * job dies; another becomes its home by a write whose answer is lost, and lets
 * the job go.  The dead one comes back and looks after its part of the jobs
 * again, but the row names a home that lives: nobody takes the job over.
 */
static void
test_lost_answers_leave_no_orphan (void **state)
{
  FakeHooks hooks = { 0 };
  FakeNet *net = fake_net_new (SEED, &hooks);

  (void) state;
  fake_net_add (net, "d1", "dc-a");
  fake_net_add (net, "d2", "dc-b");
  fake_net_run (net, FIRST_LOOK_MS);
  for (uint64_t i = 1; i <= JOBS; i++)
    put_row (net, 1, (MuxId){ i % PARTS << PART_SHIFT, i });
  fake_net_kill (net, 1);
  net->lost_ppm = 1000000;
  fake_net_run (net, DEAD_MS);
  assert_true (adopted (net, 0) < JOBS);
  /* Back again, it looks through its part of the open jobs, as before. */
  fake_net_start (net, 1);
  net->lost_ppm = 0;
  fake_net_run (net, 2 * LOOK_MS);
  assert_int_equal (adopted (net, 0) + adopted (net, 1), JOBS);
  fake_net_free (net);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_answers_leave_no_orphan),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
