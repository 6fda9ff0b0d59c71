#include "src/cell/token.h"
#include "base/counters.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Checkpoints and proofs are handed on whole or not at all. */

#define CELLS 3
#define WORKERS 6
/* More than a planner calls itself. */
#define PROXIED_WORKERS 120
#define SETTLE_MS 2000
/* Within this time the planner notices a lost worker, and starts few of its
 * runs again. */
#define LOSS_MS 1500
#define LONG_LEN 1500
/* Length at which the previous protocol cuts. */
#define CUT_LEN (CELL_SHORT_TOKEN_LEN - 1)

/* Runs a job with long proofs and checkpoints while workers and the planner are
 * lost.
 * Return: its runs that were resumed before the planner was lost. */
static uint32_t
play_long_tokens (uint32_t workers)
{
  World *world = world_new (CELLS, workers);
  MuxJobSpec *job = world_job (1, 24, 8000);
  uint32_t resumed;

  world->proof_len = LONG_LEN;
  world->checkpoint_len = LONG_LEN;
  world->task_ms = 6000;
  job->step[0].checkpointing = true;
  world_run (world, SETTLE_MS);
  (void) world_submit (world, world_planner (world), job, "job-a");
  world_run (world, 3000);
  for (uint32_t i = 0; i < workers / 2; i++)
    world_worker_crash (world, i);
  world_run (world, LOSS_MS);
  resumed = world->resumed;
  world_cell_kill (world, world_planner (world));
  world_run (world, 30000);
  assert_int_equal (world_state (world, world_planner (world), "job-a"),
                    MUX_JOB_COMPLETED);
  assert_true (world->resumed > 0);
  assert_int_equal (world->cut_checkpoints, 0);
  assert_false (world_double_run_acked (world));
  world_free (world);
  return resumed;
}

/* Guards against proofs and checkpoints that are cut on their way through the
 * planner and its rows. */
static void
test_long_tokens_are_carried_whole (void **state)
{
  (void) state;
  assert_int_equal (play_long_tokens (WORKERS), 0);
}

/* Guards against the same on their way through a proxy. */
static void
test_proxies_carry_long_tokens_whole (void **state)
{
  (void) state;
  (void) play_long_tokens (PROXIED_WORKERS);
}

/* Guards against starts with a part of a proof that exceeds the limit. */
static void
test_proof_over_the_limit_is_no_approval (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->proof_len = MUX_PROOF_BYTES_MAX + 1;
  world_run (world, SETTLE_MS);
  (void) world_submit (world, world_planner (world), world_job (1, 2, 1000),
                       "job-a");
  world_run (world, 5000);
  assert_int_equal (world_starts (world, "job-a"), 0);
  assert_int_equal (world_logged (world, "start_refused"), 0);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_PROOFS_DROPPED)
               > 0);
  assert_true (world_logged (world, "token_dropped") > 0);
  assert_true (world_logged (world, "token_dropped") <= 5 * CELLS);
  world_free (world);
}

/* Guards against a part of a checkpoint that exceeds the limit being handed to
 * the next run. */
static void
test_checkpoint_over_the_limit_is_not_handed_on (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, 6, 8000);

  (void) state;
  world->checkpoint_len = MUX_CHECKPOINT_BYTES_MAX + 1;
  world->task_ms = 4000;
  job->step[0].checkpointing = true;
  world_run (world, SETTLE_MS);
  (void) world_submit (world, world_planner (world), job, "job-a");
  world_run (world, 2500);
  for (uint32_t i = 0; i < WORKERS / 2; i++)
    world_worker_crash (world, i);
  world_run (world, 25000);
  assert_int_equal (world_state (world, world_planner (world), "job-a"),
                    MUX_JOB_COMPLETED);
  assert_int_equal (world->resumed, 0);
  assert_true (
      mux_counter_value (world->counters, MUX_COUNT_CHECKPOINTS_DROPPED) > 0);
  world_free (world);
}

/* Guards against a planner that runs out of memory for proofs, and against jobs
 * that never start after that. */
static void
test_proofs_take_a_bounded_part_of_memory (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t max = 0;

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    {
      world->cell[i].memory_mib = 8;
      world_cell_start (world, i);
    }
  world->proof_len = MUX_PROOF_BYTES_MAX;
  world->task_ms = 500;
  world_run (world, 10000);
  for (uint32_t i = 0; i < 300; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, world_planner (world), world_job (1, 1, 4000),
                           id);
    }
  for (uint32_t i = 0; i < 400; i++)
    {
      MuxCell *cell = world->cell[world_planner (world)].cell;

      world_run (world, 250);
      if (cell->tokens.bytes > max)
        max = cell->tokens.bytes;
    }
  assert_true (max <= 1 << 20);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_TOKENS_NO_MEMORY)
               > 0);
  for (uint32_t i = 0; i < 300; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      assert_true (world_starts (world, id) > 0);
    }
  world_free (world);
}

static MuxBlob *
token_of (size_t len)
{
  char text[LONG_LEN];

  memset (text, 'x', sizeof text);
  return mux_blob_new (text, len);
}

/* Return: number of fields of the array that @blob holds. */
static uint32_t
field_count (const MuxBlob *blob)
{
  msgpack_unpacked unpacked;
  uint32_t count;

  msgpack_unpacked_init (&unpacked);
  assert_int_equal (
      msgpack_unpack_next (&unpacked, blob->bytes, blob->len, NULL),
      MSGPACK_UNPACK_SUCCESS);
  count = unpacked.data.via.array.size;
  msgpack_unpacked_destroy (&unpacked);
  return count;
}

/* Guards against a daemon of the previous protocol that cuts the texts of a
 * call: it rejects an array of another length. */
static void
test_long_proxied_call_is_no_call_of_the_previous_protocol (void **state)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_START);
  MuxCellCall *decoded;
  MuxBlob *blob;
  uint32_t fields;

  (void) state;
  snprintf (call->addr, sizeof call->addr, "127.0.0.1:80");
  call->payload = mux_blob_new ("x", 1);
  call->proof = token_of (CUT_LEN - 1);
  blob = cell_proxied_call_encode (call);
  fields = field_count (blob);
  mux_blob_unref (blob);
  mux_blob_unref (call->proof);
  call->proof = token_of (CUT_LEN);
  blob = cell_proxied_call_encode (call);
  assert_int_equal (field_count (blob), fields + 1);
  decoded = cell_proxied_call_decode (blob);
  assert_non_null (decoded);
  assert_int_equal (decoded->proof->len, CUT_LEN);
  assert_null (decoded->checkpoint);
  mux_blob_unref (blob);
  mux_cell_call_free (decoded);
  mux_cell_call_free (call);
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_bin_with_body (packer, text, strlen (text));
}

/* A proxied start with these fields. */
static MuxBlob *
start_bytes (const char *worker, const char *job, uint64_t run)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  MuxBlob *blob;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 16);
  msgpack_pack_int64 (&packer, MUX_CELL_START);
  msgpack_pack_int64 (&packer, 1500);
  pack_text (&packer, "127.0.0.1:80");
  pack_text (&packer, worker);
  pack_text (&packer, job);
  for (uint32_t i = 0; i < 3; i++)
    msgpack_pack_int64 (&packer, 0);
  msgpack_pack_uint64 (&packer, run);
  for (uint32_t i = 0; i < 4; i++)
    msgpack_pack_int64 (&packer, 7);
  for (uint32_t i = 0; i < 3; i++)
    pack_text (&packer, "x");
  blob = mux_blob_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return blob;
}

static bool
is_start (const char *worker, const char *job, uint64_t run)
{
  MuxBlob *blob = start_bytes (worker, job, run);
  MuxCellCall *call = cell_proxied_call_decode (blob);
  bool decoded = call != NULL;

  mux_cell_call_free (call);
  mux_blob_unref (blob);
  return decoded;
}

/* Guards against an order for another worker, task or run because a field of
 * the one received was cut or read as 0. */
static void
test_proxied_call_with_a_field_that_does_not_fit_is_none (void **state)
{
  char name[MUX_NAME_LEN + 1];

  (void) state;
  memset (name, 'w', sizeof name - 1);
  name[sizeof name - 1] = 0;
  assert_true (is_start ("i-1", "5c0e7a21d94b36f8", 1));
  assert_true (is_start (name + 1, "5c0e7a21d94b36f8", UINT32_MAX));
  assert_false (is_start (name, "5c0e7a21d94b36f8", 1));
  assert_false (is_start ("i-1", name, 1));
  assert_false (is_start ("i-1", "5c0e7a21d94b36f8", UINT64_C (1) << 32));
  assert_false (is_start ("i-1", "5c0e7a21d94b36f8", UINT64_MAX));
}

/* Guards against a query about another step or worker for the same reason. */
static void
test_approval_query_with_a_field_that_does_not_fit_is_none (void **state)
{
  static const char *const queries[] = {
    "{\"job\":\"a\",\"occurrence\":0,\"step\":0,\"timeout_ms\":5}",
    "{\"job\":\"a\",\"occurrence\":4294967296,\"step\":0,\"timeout_ms\":5}",
    "{\"job\":\"a\",\"occurrence\":0,\"step\":-1,\"timeout_ms\":5}",
    "{\"job\":\"a\",\"occurrence\":0,\"step\":\"1\",\"timeout_ms\":5}",
    "{\"job\":\"a\",\"occurrence\":0,\"step\":0}",
    "{\"job\":\"a b\",\"occurrence\":0,\"step\":0,\"timeout_ms\":5}",
    "{\"job\":\"a\",\"occurrence\":0,\"step\":0,\"timeout_ms\":5,"
    "\"workers\":[\"0123456789abcdef0123456789abcdef0123456789abcdef\"]}",
    "{\"job\":\"a\",\"occurrence\":0,\"step\":0,\"timeout_ms\":5,"
    "\"workers\":[7]}"
  };

  (void) state;
  for (size_t i = 0; i < sizeof queries / sizeof queries[0]; i++)
    {
      json_t *json = json_loads (queries[i], 0, NULL);
      MuxCellCall *call = cell_approval_query_call (json);

      assert_non_null (json);
      /* The first one is valid. */
      if (i == 0)
        assert_non_null (call);
      else
        assert_null (call);
      mux_cell_call_free (call);
      json_decref (json);
    }
}

static MuxCellReply *
reply_with (MuxBlob *checkpoint)
{
  MuxCellCall call = { .verb = MUX_CELL_RENEW };
  MuxCellReply *reply = mux_cell_reply_new (&call, MUX_CELL_OK);

  reply->report = calloc (1, sizeof *reply->report);
  reply->report_count = 1;
  snprintf (reply->report[0].task.job, MUX_JOB_ID_LEN, "job-a");
  reply->report[0].checkpoint = checkpoint;
  return reply;
}

/* Sends a checkpoint through a proxied reply in the form of either protocol.
 * Return: its length as received; 0: none. */
static size_t
len_received (size_t len, bool whole)
{
  MuxCellReply *reply = reply_with (token_of (len));
  MuxBlob *blob = cell_proxied_reply_encode (reply, whole);
  bool received_whole = !whole;
  MuxCellReply *received = cell_proxied_reply_decode (blob, 1, &received_whole);
  size_t result;

  assert_non_null (received);
  assert_int_equal (received_whole, whole);
  assert_int_equal (received->report_count, 1);
  result = received->report[0].checkpoint != NULL
               ? received->report[0].checkpoint->len
               : 0;
  mux_blob_unref (blob);
  mux_cell_reply_free (received);
  mux_cell_reply_free (reply);
  return result;
}

/* Guards against a planner of the previous protocol that cuts a checkpoint. */
static void
test_long_checkpoints_are_left_out_for_the_previous_protocol (void **state)
{
  (void) state;
  assert_int_equal (len_received (CUT_LEN - 1, false), CUT_LEN - 1);
  assert_int_equal (len_received (CUT_LEN, false), 0);
  assert_int_equal (len_received (LONG_LEN, false), 0);
  assert_int_equal (len_received (CUT_LEN, true), CUT_LEN);
  assert_int_equal (len_received (LONG_LEN, true), LONG_LEN);
}

/* Guards against the use of a checkpoint that a proxy, or an earlier planner,
 * of the previous protocol has cut: its length is the one they cut to. */
static void
test_checkpoint_that_may_be_cut_is_not_used (void **state)
{
  static const char head[] = "\x95\x07\x00\x00\x00\x91\x9a\xc4\x05job-a"
                             "\x00\x00\x00\x01\x00\x00\x00\x00\xc4\x47";
  char bytes[sizeof head - 1 + CUT_LEN];
  MuxBlob *blob;
  MuxCellReply *reply;
  bool whole = true;

  (void) state;
  memcpy (bytes, head, sizeof head - 1);
  memset (bytes + sizeof head - 1, 'x', CUT_LEN);
  bytes[1] = MUX_CELL_RENEW;
  blob = mux_blob_new (bytes, sizeof bytes);
  reply = cell_proxied_reply_decode (blob, 1, &whole);
  assert_non_null (reply);
  assert_false (whole);
  assert_int_equal (reply->report_count, 1);
  assert_null (reply->report[0].checkpoint);
  mux_blob_unref (blob);
  mux_cell_reply_free (reply);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_tokens_are_carried_whole),
    cmocka_unit_test (test_proxies_carry_long_tokens_whole),
    cmocka_unit_test (test_proof_over_the_limit_is_no_approval),
    cmocka_unit_test (test_checkpoint_over_the_limit_is_not_handed_on),
    cmocka_unit_test (test_proofs_take_a_bounded_part_of_memory),
    cmocka_unit_test (
        test_long_proxied_call_is_no_call_of_the_previous_protocol),
    cmocka_unit_test (test_proxied_call_with_a_field_that_does_not_fit_is_none),
    cmocka_unit_test (
        test_approval_query_with_a_field_that_does_not_fit_is_none),
    cmocka_unit_test (
        test_long_checkpoints_are_left_out_for_the_previous_protocol),
    cmocka_unit_test (test_checkpoint_that_may_be_cut_is_not_used),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
