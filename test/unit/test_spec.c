#include "model/spec.h"
#include "support/test.h"

#define CLASS                                                        \
  "{\"product\":\"booking\",\"kind\":\"gang\",\"idempotent\":false," \
  "\"start_within_ms\":200,\"start_share_ppm\":999000,"              \
  "\"size\":{\"cpu_milli\":1500,\"mem_mib\":2048,\"accels\":1},"     \
  "\"run_ms\":60000}"

static json_t *
parse (const char *text)
{
  json_t *json = json_loads (text, JSON_DECODE_ANY, NULL);

  assert_non_null (json);
  return json;
}

/* "place: text" of each finding of the last class, a line each. */
static char found[2048];

static bool
read_class (const char *text, MuxClassSpec *spec)
{
  static MuxFindings findings;
  json_t *json = parse (text);
  size_t used = 0;
  bool ok;

  memset (&findings, 0, sizeof findings);
  ok = mux_class_from_json (json, "class", spec, &findings);
  json_decref (json);
  found[0] = 0;
  for (uint32_t i = 0; i < findings.count; i++)
    used += (size_t) snprintf (found + used, sizeof found - used, "%s: %s\n",
                               findings.item[i].place, findings.item[i].text);
  assert_int_equal (ok, findings.count == 0);
  return ok;
}

static void
test_class_round_trip (void **state)
{
  MuxClassSpec spec = { .name = "seats" };
  json_t *json;
  json_t *same = parse (CLASS);

  (void) state;
  assert_true (read_class (CLASS, &spec));
  assert_string_equal (spec.name, "seats");
  assert_string_equal (spec.product, "booking");
  assert_int_equal (spec.kind, MUX_KIND_GANG);
  assert_int_equal (spec.start_within_ms, 200);
  assert_int_equal (spec.size.cpu_milli, 1500);
  assert_int_equal (spec.size.slots, 1);
  json = mux_class_to_json (&spec);
  assert_true (json_equal (json, same));
  json_decref (json);
  json_decref (same);
}

static void
test_share_has_a_default (void **state)
{
  MuxClassSpec spec = { .name = "" };

  (void) state;
  assert_true (read_class (
      "{\"product\":\"p\",\"kind\":\"service\",\"idempotent\":true,"
      "\"start_within_ms\":1,\"size\":{\"cpu_milli\":0,\"mem_mib\":0,"
      "\"accels\":0},\"run_ms\":0}",
      &spec));
  assert_int_equal (spec.start_share_ppm, 990000);
  assert_true (spec.idempotent);
}

static void
test_all_missing_fields_are_found (void **state)
{
  MuxClassSpec spec;

  (void) state;
  assert_false (read_class ("{}", &spec));
  assert_string_equal (found, "class.product: missing\n"
                              "class.kind: missing\n"
                              "class.idempotent: missing\n"
                              "class.start_within_ms: missing\n"
                              "class.size: missing\n"
                              "class.run_ms: missing\n");
}

static void
test_all_wrong_fields_are_found (void **state)
{
  MuxClassSpec spec;

  (void) state;
  assert_false (read_class (
      "{\"product\":\"a b\",\"kind\":\"cron\",\"idempotent\":1,"
      "\"start_within_ms\":0,\"start_share_ppm\":1000001,"
      "\"size\":{\"cpu_milli\":-1,\"mem_mib\":1.5,\"accels\":65,\"slots\":1},"
      "\"run_ms\":604800001,\"weight\":3}",
      &spec));
  assert_string_equal (
      found, "class.weight: unknown field\n"
             "class.product: must be a name of 1 to 47 of a-z A-Z 0-9 . _ -\n"
             "class.kind: must be service, batch, gang or long_running\n"
             "class.idempotent: must be true or false\n"
             "class.start_within_ms: must be 1 to 604800000, not 0\n"
             "class.start_share_ppm: must be 1 to 1000000, not 1000001\n"
             "class.size.slots: unknown field\n"
             "class.size.cpu_milli: must be 0 to 1024000, not -1\n"
             "class.size.mem_mib: must be a whole number\n"
             "class.size.accels: must be 0 to 64, not 65\n"
             "class.run_ms: must be 0 to 604800000, not 604800001\n");
}

static void
test_bounds_are_inclusive (void **state)
{
  MuxClassSpec spec;

  (void) state;
  assert_true (read_class (
      "{\"product\":\"p\",\"kind\":\"batch\",\"idempotent\":true,"
      "\"start_within_ms\":604800000,\"start_share_ppm\":1000000,"
      "\"size\":{\"cpu_milli\":1024000,\"mem_mib\":16777216,\"accels\":64},"
      "\"run_ms\":604800000}",
      &spec));
  assert_false (read_class (
      "{\"product\":\"p\",\"kind\":\"batch\",\"idempotent\":true,"
      "\"start_within_ms\":604800001,\"start_share_ppm\":0,"
      "\"size\":{\"cpu_milli\":1024001,\"mem_mib\":16777217,\"accels\":0},"
      "\"run_ms\":0}",
      &spec));
  assert_string_equal (
      found, "class.start_within_ms: must be 1 to 604800000, not 604800001\n"
             "class.start_share_ppm: must be 1 to 1000000, not 0\n"
             "class.size.cpu_milli: must be 0 to 1024000, not 1024001\n"
             "class.size.mem_mib: must be 0 to 16777216, not 16777217\n");
}

static void
test_not_an_object (void **state)
{
  MuxClassSpec spec;

  (void) state;
  assert_false (read_class ("[]", &spec));
  assert_string_equal (found, "class: must be an object\n");
}

static void
test_product_and_cell (void **state)
{
  static MuxFindings findings;
  MuxProductSpec product = { .name = "p" };
  MuxCellSpec cell;
  json_t *json = parse ("{\"quota\":{\"cpu_milli\":4294967295,\"mem_mib\":2,"
                        "\"accels\":3,\"slots\":4}}");
  json_t *back;

  (void) state;
  memset (&findings, 0, sizeof findings);
  assert_true (mux_product_from_json (json, "", &product, &findings));
  assert_int_equal (product.quota.cpu_milli, UINT32_MAX);
  assert_int_equal (product.quota.slots, 4);
  back = mux_product_to_json (&product);
  assert_true (json_equal (json, back));
  json_decref (json);
  json_decref (back);

  json = parse ("{\"quota\":{\"cpu_milli\":4294967296,\"mem_mib\":2,"
                "\"accels\":3}}");
  assert_false (mux_product_from_json (json, "", &product, &findings));
  json_decref (json);
  assert_int_equal (findings.count, 2);
  assert_string_equal (findings.item[0].place, "quota.cpu_milli");
  assert_string_equal (findings.item[1].place, "quota.slots");
  back = mux_findings_to_json (&findings);
  assert_int_equal (json_array_size (back), 2);
  assert_string_equal (
      json_string_value (json_object_get (json_array_get (back, 1), "text")),
      "missing");
  json_decref (back);

  json = parse ("{\"idle_ppm\":1000001}");
  assert_false (mux_cell_from_json (json, "", &cell, &findings));
  json_decref (json);
  json = parse ("{\"idle_ppm\":1000000}");
  memset (&findings, 0, sizeof findings);
  assert_true (mux_cell_from_json (json, "", &cell, &findings));
  back = mux_cell_to_json (&cell);
  assert_true (json_equal (json, back));
  json_decref (json);
  json_decref (back);
}

static void
test_sizes (void **state)
{
  MuxSize a = { 10, 20, 1, 1 };
  MuxSize b = { 9, 30, 1, 0 };
  MuxSize left = mux_size_sub (a, b);
  MuxSize most = { UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX };

  (void) state;
  assert_true (mux_size_fits (a, a));
  assert_false (mux_size_fits (a, b));
  assert_false (mux_size_fits (b, a));
  assert_int_equal (left.cpu_milli, 1);
  assert_int_equal (left.mem_mib, 0);
  assert_int_equal (left.slots, 1);
  assert_int_equal (mux_size_add (a, b).mem_mib, 50);
  assert_int_equal (mux_size_add (a, most).accels, UINT32_MAX);
}

static void
test_kind_names (void **state)
{
  MuxKind kind = MUX_KIND_SERVICE;

  (void) state;
  for (int i = 0; i < MUX_KIND_COUNT; i++)
    {
      assert_true (mux_kind_parse (mux_kind_name ((MuxKind) i), &kind));
      assert_int_equal (kind, i);
    }
  assert_false (mux_kind_parse ("Service", &kind));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_class_round_trip),
    cmocka_unit_test (test_share_has_a_default),
    cmocka_unit_test (test_all_missing_fields_are_found),
    cmocka_unit_test (test_all_wrong_fields_are_found),
    cmocka_unit_test (test_bounds_are_inclusive),
    cmocka_unit_test (test_not_an_object),
    cmocka_unit_test (test_product_and_cell),
    cmocka_unit_test (test_sizes),
    cmocka_unit_test (test_kind_names),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
