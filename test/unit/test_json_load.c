#include "base/json_load.h"
#include "support/test.h"

static const MuxJsonLimits limits = { 4, 8 };

static bool
within (const char *text)
{
  MuxError err = { MUX_ERROR_NONE, "" };
  bool ok = mux_json_check (text, strlen (text), &limits, &err);

  assert_int_equal (err.code, ok ? MUX_ERROR_NONE : MUX_ERROR_LIMIT);
  assert_true (ok || err.text[0] != 0);
  return ok;
}

/* Guards against a text that makes the parser recurse past its stack. */
static void
test_depth (void **state)
{
  (void) state;
  assert_true (within ("[[[[]]]]"));
  assert_false (within ("[[[[[]]]]]"));
  assert_false (within ("[[[[["));
  assert_false (within ("{\"a\":{\"a\":[{\"a\":{"));
  assert_true (within ("[],[],[],[]"));
  /* Closing brackets that nothing has opened don't raise the limit. */
  assert_false (within ("]]]][[[[["));
}

/* Guards against a text whose values take many times its memory. */
static void
test_values (void **state)
{
  (void) state;
  assert_true (within ("[1,2,3,4,5,6,7,8]"));
  assert_false (within ("[1,2,3,4,5,6,7,8,9]"));
  assert_true (within ("{\"a\":1,\"b\":2}"));
  assert_false (within ("{\"a\":1,\"b\":2,\"c\":3,\"d\":4,\"e\":5}"));
  assert_false (within ("[{},{},{},{},{}]"));
}

/* Guards against text within strings that is counted, or that hides what
 * follows it. */
static void
test_strings (void **state)
{
  (void) state;
  assert_true (within ("[\"[[[[[[[[[[,,,,,,,,,,::::::\"]"));
  assert_true (within ("[\"\\\"[[[[[[\\\\\"]"));
  assert_false (within ("[\"\\\\\",[[[[[]"));
  assert_true (within ("\"[[[[[["));
  assert_true (within ("\"\\"));
  assert_true (within (""));
}

static void
test_load (void **state)
{
  MuxError err = { MUX_ERROR_NONE, "" };
  json_t *json = mux_json_load ("{\"a\":[1]}", 9, &limits, 0, &err);

  (void) state;
  assert_int_equal (json_array_size (json_object_get (json, "a")), 1);
  json_decref (json);
  assert_null (mux_json_load ("[1", 2, &limits, 0, &err));
  assert_int_equal (err.code, MUX_ERROR_PROTOCOL);
  assert_null (mux_json_load ("[[[[[]]]]]", 10, &limits, 0, &err));
  assert_int_equal (err.code, MUX_ERROR_LIMIT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_depth),
    cmocka_unit_test (test_values),
    cmocka_unit_test (test_strings),
    cmocka_unit_test (test_load),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
