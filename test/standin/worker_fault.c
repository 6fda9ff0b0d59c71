#include "standin/worker_fault.h"

#include <string.h>

static bool
read_bool (const json_t *value, bool *out)
{
  *out = json_is_true (value);
  return json_is_boolean (value);
}

static bool
read_count (const json_t *value, uint32_t *out)
{
  json_int_t n = json_integer_value (value);

  *out = (uint32_t) n;
  return json_is_integer (value) && n >= 0 && n <= UINT32_MAX;
}

static bool
read_field (const char *name, const json_t *value, StandinWorkerFaults *faults)
{
  if (strcmp (name, "hang") == 0)
    return read_bool (value, &faults->hang);
  if (strcmp (name, "deaf") == 0)
    return read_bool (value, &faults->cut_calls);
  if (strcmp (name, "fail_all") == 0)
    return read_bool (value, &faults->fail_all);
  if (strcmp (name, "leaving") == 0)
    return read_bool (value, &faults->leaving);
  if (strcmp (name, "slow_ms") == 0)
    return read_count (value, &faults->slow_ms);
  if (strcmp (name, "lose_answers") == 0)
    return read_count (value, &faults->lose_answers);
  return false;
}

bool
standin_worker_faults_read (const json_t *json, StandinWorkerFaults *faults)
{
  StandinWorkerFaults changed = *faults;
  const char *name;
  json_t *value;

  if (!json_is_object (json))
    return false;
  json_object_foreach ((json_t *) json, name, value)
  {
    if (!read_field (name, value, &changed))
      return false;
  }
  *faults = changed;
  return true;
}
