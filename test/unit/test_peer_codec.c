#include "adapter/peer.h"
#include "port/worker.h"
#include "support/peer_sample.h"
#include "support/test.h"

/* Largest heartbeat that the daemons of the sample should send. */
#define HEARTBEAT_BYTES_MAX 140

/* Decodes from a block of exactly @len bytes, so that the sanitizer sees any
 * read beyond it. */
static bool
decode_exact (const void *bytes, size_t len, MuxPeerMsg *msg, MuxError *err)
{
  void *block = malloc (len > 0 ? len : 1);
  bool ok;

  assert_non_null (block);
  memcpy (block, bytes, len);
  ok = mux_peer_decode (block, len, msg, err);
  free (block);
  return ok;
}

static MuxBlob *
encode_sample (MuxPeerVerb verb)
{
  MuxPeerMsg msg;
  MuxBlob *blob;

  peer_sample (verb, &msg);
  blob = mux_peer_encode (&msg);
  assert_non_null (blob);
  mux_blob_unref (msg.body);
  return blob;
}

static void
assert_msgs_equal (MuxPeerMsg *a, MuxPeerMsg *b)
{
  MuxBlob *body_a = a->body;
  MuxBlob *body_b = b->body;

  assert_int_equal (body_a == NULL, body_b == NULL);
  if (body_a != NULL)
    {
      assert_int_equal (body_a->len, body_b->len);
      assert_memory_equal (body_a->bytes, body_b->bytes, body_a->len);
    }
  a->body = NULL;
  b->body = NULL;
  assert_memory_equal (a, b, sizeof *a);
  mux_blob_unref (body_a);
  mux_blob_unref (body_b);
}

static void
test_round_trip (void **state)
{
  (void) state;
  for (int verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxBlob *blob = encode_sample ((MuxPeerVerb) verb);
      MuxError err = { 0 };
      MuxPeerMsg sent;
      MuxPeerMsg got;

      peer_sample ((MuxPeerVerb) verb, &sent);
      assert_true (decode_exact (blob->bytes, blob->len, &got, &err));
      assert_int_equal (err.code, MUX_ERROR_NONE);
      assert_msgs_equal (&sent, &got);
      mux_blob_unref (blob);
    }
}

static void
test_optional_fields_absent (void **state)
{
  MuxPeerMsg sent;
  MuxPeerMsg got;
  MuxBlob *blob;

  (void) state;
  peer_sample (MUX_PEER_GRANT_REQUEST, &sent);
  sent.group = (MuxId){ 0, 0 };
  memset (sent.to, 0, sizeof sent.to);
  blob = mux_peer_encode (&sent);
  assert_true (decode_exact (blob->bytes, blob->len, &got, NULL));
  assert_msgs_equal (&sent, &got);
  mux_blob_unref (blob);
}

/* Entries of a hello before it carried limits. */
#define HELLO_ENTRIES_MIN 12
#define HELLO_OPTIONAL 4

static void
check_hello (const MuxPeerMsg *sent, uint32_t entries)
{
  MuxBlob *blob = mux_peer_encode (sent);
  MuxPeerMsg got;
  MuxError err = { MUX_ERROR_NONE, "" };

  assert_non_null (blob);
  /* Arrays of up to 15 entries have a header of one byte, others of three. */
  assert_int_equal ((unsigned char) blob->bytes[0],
                    entries < 16 ? 0x90 | entries : 0xdc);
  if (entries >= 16)
    assert_int_equal (blob->bytes[2], entries);
  assert_true (mux_peer_decode (blob->bytes, blob->len, &got, &err));
  assert_int_equal (got.link_kbps, sent->link_kbps);
  assert_int_equal (got.memory_mib, sent->memory_mib);
  assert_int_equal (got.late_ms, sent->late_ms);
  assert_int_equal (got.loop_ms, sent->loop_ms);
  mux_blob_unref (blob);
}

/* A hello must have the length that older versions take unless it carries the
 * fields that they don't have: they refuse any other, and the sender would
 * not be a member of an older planner. */
static void
test_hello_without_limits_has_its_former_length (void **state)
{
  MuxPeerMsg sent;

  (void) state;
  peer_sample (MUX_PEER_HELLO, &sent);
  check_hello (&sent, HELLO_ENTRIES_MIN + HELLO_OPTIONAL);
  sent.link_kbps = 0;
  sent.late_ms = 0;
  sent.loop_ms = 0;
  check_hello (&sent, HELLO_ENTRIES_MIN + HELLO_OPTIONAL);
  sent.memory_mib = 0;
  check_hello (&sent, HELLO_ENTRIES_MIN);
}

static void
test_only_fields_of_verb_travel (void **state)
{
  MuxBlob *alone = encode_sample (MUX_PEER_HEARTBEAT);
  MuxBlob *both;
  MuxPeerMsg msg;

  (void) state;
  peer_sample (MUX_PEER_HEARTBEAT, &msg);
  mux_name_copy (msg.worker, "nizwa-w017");
  msg.epoch = 7;
  msg.body = mux_blob_new ("[]", 2);
  both = mux_peer_encode (&msg);
  assert_int_equal (alone->len, both->len);
  assert_memory_equal (alone->bytes, both->bytes, alone->len);
  assert_true (alone->len <= HEARTBEAT_BYTES_MAX);
  mux_blob_unref (msg.body);
  mux_blob_unref (alone);
  mux_blob_unref (both);
}

static void
test_truncation_refused (void **state)
{
  (void) state;
  for (int verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxBlob *blob = encode_sample ((MuxPeerVerb) verb);

      for (size_t len = 0; len < blob->len; len++)
        {
          MuxError err = { 0 };
          MuxPeerMsg got;

          assert_false (decode_exact (blob->bytes, len, &got, &err));
          assert_int_equal (err.code, MUX_ERROR_PROTOCOL);
          assert_null (got.body);
        }
      mux_blob_unref (blob);
    }
}

static void
test_trailing_bytes_refused (void **state)
{
  (void) state;
  for (int verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxBlob *blob = encode_sample ((MuxPeerVerb) verb);
      MuxPeerMsg got;

      /* The blob's closing NUL, which is a msgpack 0, is the byte too many. */
      assert_false (decode_exact (blob->bytes, blob->len + 1, &got, NULL));
      assert_null (got.body);
      mux_blob_unref (blob);
    }
}

/* A message that was accepted must survive another encode and decode. */
static void
check_accepted (MuxPeerMsg *got)
{
  MuxBlob *again = mux_peer_encode (got);
  MuxPeerMsg second;

  assert_non_null (again);
  assert_true (decode_exact (again->bytes, again->len, &second, NULL));
  assert_msgs_equal (got, &second);
  mux_blob_unref (again);
}

static void
test_corruption_decodes_or_fails (void **state)
{
  (void) state;
  for (int verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxBlob *blob = encode_sample ((MuxPeerVerb) verb);

      for (size_t at = 0; at < blob->len; at++)
        for (int delta = 1; delta < 256; delta++)
          {
            char byte = blob->bytes[at];
            MuxError err = { 0 };
            MuxPeerMsg got;

            blob->bytes[at] = (char) (byte + delta);
            if (decode_exact (blob->bytes, blob->len, &got, &err))
              check_accepted (&got);
            else
              assert_int_equal (err.code, MUX_ERROR_PROTOCOL);
            blob->bytes[at] = byte;
          }
      mux_blob_unref (blob);
    }
}

static void
assert_refused (const MuxPeerMsg *msg)
{
  MuxBlob *blob = mux_peer_encode (msg);
  MuxError err = { 0 };
  MuxPeerMsg got;

  assert_non_null (blob);
  assert_false (decode_exact (blob->bytes, blob->len, &got, &err));
  assert_int_equal (err.code, MUX_ERROR_PROTOCOL);
  mux_blob_unref (blob);
}

static void
test_out_of_range_refused (void **state)
{
  MuxPeerMsg msg;

  (void) state;
  peer_sample (MUX_PEER_GRANT_REFUSED, &msg);
  msg.reason = MUX_REASON_COUNT;
  assert_refused (&msg);
  peer_sample (MUX_PEER_GRANT_END, &msg);
  msg.state = MUX_TASK_DONE_GONE + 1;
  assert_refused (&msg);
  peer_sample (MUX_PEER_TASK_ENDED, &msg);
  msg.task = (MuxId){ 0, 0 };
  assert_refused (&msg);
  peer_sample (MUX_PEER_HEARTBEAT, &msg);
  strcpy (msg.from_addr, "entry.example:7411");
  assert_refused (&msg);
  strcpy (msg.from_addr, "10.20.30.41:65536");
  assert_refused (&msg);
  strcpy (msg.from_addr, "10.20.30.41:0");
  assert_refused (&msg);
  peer_sample (MUX_PEER_BYE, &msg);
  strcpy (msg.from, "no name");
  assert_refused (&msg);
  msg.from[0] = 0;
  assert_refused (&msg);
}

static void
test_unknown_verb_and_version_refused (void **state)
{
  /* The header of a message of 5 entries is 1 byte; version and verb follow. */
  enum
  {
    VERSION_AT = 1,
    VERB_AT = 2
  };
  MuxBlob *blob = encode_sample (MUX_PEER_BYE);
  MuxPeerMsg msg;

  (void) state;
  blob->bytes[VERB_AT] = MUX_PEER_VERB_COUNT;
  assert_false (decode_exact (blob->bytes, blob->len, &msg, NULL));
  blob->bytes[VERB_AT] = MUX_PEER_BYE;
  assert_true (decode_exact (blob->bytes, blob->len, &msg, NULL));
  blob->bytes[VERSION_AT]++;
  assert_false (decode_exact (blob->bytes, blob->len, &msg, NULL));
  mux_blob_unref (blob);
  peer_sample (MUX_PEER_BYE, &msg);
  msg.verb = MUX_PEER_VERB_COUNT;
  assert_null (mux_peer_encode (&msg));
}

static void
test_lengths_are_not_trusted (void **state)
{
  /* A faulty or hostile sender may give a length of 4 GiB or nest arrays.  A
   * decoder that allocates by such a length, or recurses as deep as the input,
   * would let one short message crash the daemon. */
  static const unsigned char heads[][6] = {
    { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01 }, /* array of 2^32 - 1 entries */
    { 0x95, 0xdd, 0xff, 0xff, 0xff, 0xff }, /* one inside a message */
    { 0x95, 0xdf, 0xff, 0xff, 0xff, 0xff }, /* map */
    { 0x95, 0xc6, 0xff, 0xff, 0xff, 0xff }, /* binary */
    { 0x95, 0xdb, 0xff, 0xff, 0xff, 0xff }, /* string */
    { 0x95, 0xc9, 0xff, 0xff, 0xff, 0xff }, /* extension */
    { 0x91, 0x91, 0x91, 0x91, 0x91, 0x91 }, /* nested arrays */
  };

  (void) state;
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      MuxPeerMsg got;
      MuxError err = { 0 };

      assert_false (decode_exact (heads[i], sizeof heads[i], &got, &err));
      assert_int_equal (err.code, MUX_ERROR_PROTOCOL);
    }
}

/* Every verb whose sample has a body must be able to carry the largest one.  If
 * the encoder had room for a large body in CONFIG_ROWS only, the MEMBERS of a
 * large cell would not be sent and daemons would stay unknown to each other. */
static void
check_body_bounds (MuxPeerVerb verb)
{
  const size_t most = 4U << 20;
  char *bytes = calloc (1, most + 1);
  MuxPeerMsg msg;
  MuxPeerMsg got;
  MuxBlob *blob;

  peer_sample (verb, &msg);
  mux_blob_unref (msg.body);
  msg.body = NULL;
  blob = mux_peer_encode (&msg);
  assert_true (decode_exact (blob->bytes, blob->len, &got, NULL));
  assert_null (got.body);
  mux_blob_unref (blob);
  msg.body = mux_blob_new (bytes, most + 1);
  assert_null (mux_peer_encode (&msg));
  mux_blob_unref (msg.body);
  msg.body = mux_blob_new (bytes, most);
  blob = mux_peer_encode (&msg);
  assert_non_null (blob);
  assert_true (decode_exact (blob->bytes, blob->len, &got, NULL));
  assert_msgs_equal (&msg, &got);
  mux_blob_unref (blob);
  free (bytes);
}

static void
test_body_bounds (void **state)
{
  int with_body = 0;

  (void) state;
  for (int verb = 0; verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxPeerMsg msg;

      peer_sample ((MuxPeerVerb) verb, &msg);
      if (msg.body == NULL)
        continue;
      mux_blob_unref (msg.body);
      check_body_bounds ((MuxPeerVerb) verb);
      with_body++;
    }
  assert_true (with_body >= 2);
}

static void
test_longest_fields_fit (void **state)
{
  const MuxSize size = { UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX };
  MuxPeerMsg msg;
  MuxPeerMsg got;
  MuxBlob *blob;

  (void) state;
  peer_sample (MUX_PEER_HEARTBEAT, &msg);
  memset (msg.from, 'n', MUX_NAME_LEN - 1);
  memset (msg.from_dc, 'd', MUX_NAME_LEN - 1);
  memset (msg.to, 't', MUX_NAME_LEN - 1);
  strcpy (msg.from_addr,
          "[2001:0db8:1111:2222:3333:4444:255.255.255.255]:65535");
  msg.from_incarnation = msg.revision = UINT64_MAX;
  msg.free = msg.total = msg.largest = size;
  msg.queued = msg.oldest_ms = UINT32_MAX;
  blob = mux_peer_encode (&msg);
  assert_non_null (blob);
  assert_true (decode_exact (blob->bytes, blob->len, &got, NULL));
  assert_msgs_equal (&msg, &got);
  mux_blob_unref (blob);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip),
    cmocka_unit_test (test_optional_fields_absent),
    cmocka_unit_test (test_hello_without_limits_has_its_former_length),
    cmocka_unit_test (test_only_fields_of_verb_travel),
    cmocka_unit_test (test_truncation_refused),
    cmocka_unit_test (test_trailing_bytes_refused),
    cmocka_unit_test (test_corruption_decodes_or_fails),
    cmocka_unit_test (test_out_of_range_refused),
    cmocka_unit_test (test_unknown_verb_and_version_refused),
    cmocka_unit_test (test_lengths_are_not_trusted),
    cmocka_unit_test (test_body_bounds),
    cmocka_unit_test (test_longest_fields_fit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
