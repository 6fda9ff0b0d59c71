#include "support/fake_net.h"
#include "support/test.h"

#define SEED 7
/* Longer than the longest interval between two scans of the open jobs. */
#define LOOK_MS 130000
#define FIRST_LOOK_MS 10000
/* Until a daemon of another data centre counts as dead, and a scan. */
#define DEAD_MS 30000
/* Over all partitions of the ids, and more in each than a page holds. */
#define JOBS (64 * 20)
#define PARTS 64
#define PART_SHIFT 58

/* The row of an open job whose home is @node in its current incarnation. */
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
 * Guards against an accepted job (202) that no daemon handles.  Its home dies;
 * another daemon becomes the home by a write whose reply is lost, and drops the
 * job.  The dead daemon comes back and scans its partitions again, but the row
 * names a live home, so no daemon adopts the job.
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
  /* Restarted, it scans its partitions of the open jobs as before. */
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
