#include "support/config_cell.h"

#include "support/test.h"

/* Data centres, assigned round robin. */
static const char *const centres[]
    = { "nizwa-hall", "bahla-hall", "izki-hall" };

static void
answer_came (void *user, uint32_t node, const MuxCoreResponse *answer)
{
  (void) node;
  config_cell_take (user, answer);
}

void
config_cell_init (ConfigCell *cell, uint64_t seed, uint32_t nodes)
{
  FakeHooks hooks = { .user = cell, .answer = answer_came };
  char name[MUX_NAME_LEN];

  *cell = (ConfigCell){ .net = fake_net_new (seed, &hooks) };
  for (uint32_t i = 0; i < nodes; i++)
    {
      snprintf (name, sizeof name, "entry-%u", i);
      fake_net_add (cell->net, name, centres[i % 3]);
    }
  fake_net_run (cell->net, 2000);
}

void
config_cell_free (ConfigCell *cell)
{
  fake_net_free (cell->net);
  json_decref (cell->json);
}

void
config_cell_take (ConfigCell *cell, const MuxCoreResponse *answer)
{
  if (answer->call_id != cell->call)
    return;
  cell->answers++;
  cell->answer = *answer;
  cell->answer.body = NULL;
  json_decref (cell->json);
  cell->json = answer->body == NULL ? NULL
                                    : json_loadb (answer->body->bytes,
                                                  answer->body->len, 0, NULL);
}

void
config_cell_send (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask)
{
  ask->call_id = ++cell->call;
  cell->answers = 0;
  fake_net_request (cell->net, node, ask);
}

void
config_cell_request (ConfigCell *cell, uint32_t node, MuxCoreRequest *ask)
{
  config_cell_send (cell, node, ask);
  while (cell->answers == 0)
    fake_net_next (cell->net);
}

uint64_t
config_cell_put (ConfigCell *cell,
                 uint32_t node,
                 MuxConfigSort sort,
                 const char *name,
                 const char *value)
{
  MuxCoreRequest ask = { .verb = MUX_CORE_CONFIG_PUT, .sort = sort };

  mux_name_copy (ask.name, name);
  ask.body = mux_blob_new (value, strlen (value));
  config_cell_request (cell, node, &ask);
  mux_blob_unref (ask.body);
  return cell->answer.status == 200 ? config_cell_number (cell, "revision") : 0;
}

uint64_t
config_cell_begin (ConfigCell *cell,
                   uint64_t seed,
                   uint32_t nodes,
                   uint32_t start_ms)
{
  char value[256];
  uint64_t revision;

  config_cell_init (cell, seed, nodes);
  config_cell_class (value, start_ms);
  assert_int_not_equal (
      config_cell_put (cell, 0, MUX_CONFIG_PRODUCT, "kiosk", CONFIG_NO_QUOTA),
      0);
  revision = config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", value);
  assert_int_not_equal (revision, 0);
  return revision;
}

void
config_cell_class (char out[256], uint32_t start_ms)
{
  snprintf (out, 256,
            "{\"product\":\"kiosk\",\"kind\":\"service\",\"idempotent\":true,"
            "\"start_within_ms\":%u,\"run_ms\":10,\"size\":{\"cpu_milli\":100,"
            "\"mem_mib\":64,\"accels\":0}}",
            start_ms);
}

uint64_t
config_cell_number (const ConfigCell *cell, const char *key)
{
  return (uint64_t) json_integer_value (json_object_get (cell->json, key));
}
