#include "standin/platform_ctl.h"

#include <stdio.h>
#include <string.h>

static const char *const state_names[] = { "live", "leaving", "gone" };
static const char *const role_names[] = { "entry", "worker" };

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

static void
read_bool (const json_t *value,
           const char *name,
           bool *out,
           MuxFindings *findings)
{
  if (json_is_boolean (value))
    *out = json_is_true (value);
  else
    mux_findings_add (findings, name, "must be true or false");
}

static void
read_u32 (const json_t *value,
          const char *name,
          uint32_t *out,
          MuxFindings *findings)
{
  if (json_is_integer (value) && json_integer_value (value) >= 0
      && json_integer_value (value) <= UINT32_MAX)
    *out = (uint32_t) json_integer_value (value);
  else
    mux_findings_add (findings, name, "must be a number from 0 to 2^32-1");
}

static void
read_lost (const json_t *value, StandinFaultPlan *plan, MuxFindings *findings)
{
  uint32_t seed = (uint32_t) plan->lose_seed;

  if (!json_is_object (value))
    {
      read_u32 (value, "lose_write_answers", &plan->lose_next, findings);
      return;
    }
  read_u32 (json_object_get (value, "lose_ppm"), "lose_ppm", &plan->lose_ppm,
            findings);
  read_u32 (json_object_get (value, "seed"), "seed", &seed, findings);
  plan->lose_seed = seed;
}

static void
read_cuts (const json_t *value, StandinFaultPlan *plan, MuxFindings *findings)
{
  size_t count = json_array_size (value);

  if (!json_is_array (value) || count > STANDIN_PLATFORM_CUTS_MAX)
    {
      mux_findings_add (findings, "refuse_from", "must be a list of at most %d",
                        STANDIN_PLATFORM_CUTS_MAX);
      return;
    }
  plan->cut_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (value, i));

      if (name == NULL || name[0] == 0 || strlen (name) >= MUX_ADDR_LEN)
        mux_findings_add (findings, "refuse_from", "entry %zu is no name", i);
      else
        strcpy (plan->cut[plan->cut_count++], name);
    }
}

bool
standin_platform_ctl_plan (const json_t *json,
                           StandinFaultPlan *plan,
                           bool *silence,
                           MuxFindings *findings)
{
  const char *name;
  json_t *value;

  *silence = false;
  if (!json_is_object (json))
    mux_findings_add (findings, "body", "must be a JSON object");
  json_object_foreach ((json_t *) json, name, value)
  {
    if (strcmp (name, "down") == 0)
      read_bool (value, name, &plan->down, findings);
    else if (strcmp (name, "list_down") == 0)
      read_bool (value, name, &plan->list_down, findings);
    else if (strcmp (name, "hang") == 0)
      read_bool (value, name, &plan->hang, findings);
    else if (strcmp (name, "silence_open") == 0)
      read_bool (value, name, silence, findings);
    else if (strcmp (name, "slow_ms") == 0)
      read_u32 (value, name, &plan->slow_ms, findings);
    else if (strcmp (name, "lose_write_answers") == 0)
      read_lost (value, plan, findings);
    else if (strcmp (name, "refuse_from") == 0)
      read_cuts (value, plan, findings);
    else
      mux_findings_add (findings, name, "is no fault");
  }
  return findings->count == 0;
}

static void
read_text (const json_t *json,
           const char *name,
           char *out,
           size_t cap,
           MuxFindings *findings)
{
  const char *text = json_string_value (json_object_get (json, name));

  if (text == NULL || text[0] == 0 || strlen (text) >= cap)
    mux_findings_add (findings, name, "must be a text of 1 to %zu bytes",
                      cap - 1);
  else
    strcpy (out, text);
}

static uint32_t
read_choice (const json_t *json,
             const char *name,
             const char *const *choices,
             uint32_t count,
             MuxFindings *findings)
{
  const char *text = json_string_value (json_object_get (json, name));

  for (uint32_t i = 0; text != NULL && i < count; i++)
    if (strcmp (text, choices[i]) == 0)
      return i;
  mux_findings_add (findings, name, "is none of the words allowed");
  return 0;
}

bool
standin_platform_ctl_instance (const json_t *json,
                               MuxInstance *instance,
                               MuxFindings *findings)
{
  memset (instance, 0, sizeof *instance);
  read_text (json, "name", instance->name, MUX_NAME_LEN, findings);
  read_text (json, "data_centre", instance->data_centre, MUX_NAME_LEN,
             findings);
  read_text (json, "rack", instance->rack, MUX_NAME_LEN, findings);
  read_text (json, "addr", instance->addr, MUX_ADDR_LEN, findings);
  instance->state = (MuxInstanceState) read_choice (
      json, "state", state_names, COUNT_OF (state_names), findings);
  instance->role = (MuxInstanceRole) read_choice (
      json, "role", role_names, COUNT_OF (role_names), findings);
  return findings->count == 0;
}

json_t *
standin_platform_ctl_stats (const StandinPlatformStats *stats,
                            StandinFaults *faults)
{
  uint64_t refused, cut, lost;

  standin_platform_faults_counts (faults, &refused, &cut, &lost);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "txns",
      (json_int_t) stats->txns, "conflicts", (json_int_t) stats->conflicts,
      "rows_written", (json_int_t) stats->rows_written, "reads",
      (json_int_t) stats->reads, "rows_read", (json_int_t) stats->rows_read,
      "scans", (json_int_t) stats->scans, "object_puts",
      (json_int_t) stats->object_puts, "object_gets",
      (json_int_t) stats->object_gets, "lists", (json_int_t) stats->lists,
      "rows", (json_int_t) stats->rows, "rev", (json_int_t) stats->rev,
      "refused", (json_int_t) refused, "cut", (json_int_t) cut, "lost",
      (json_int_t) lost);
}

json_t *
standin_platform_ctl_list (const MuxInstanceList *list, uint64_t rev)
{
  json_t *items = json_array ();

  for (uint32_t i = 0; i < list->count; i++)
    {
      const MuxInstance *item = &list->item[i];

      json_array_append_new (
          items,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", item->name,
                     "data_centre", item->data_centre, "rack", item->rack,
                     "addr", item->addr, "state", state_names[item->state],
                     "role", role_names[item->role]));
    }
  return json_pack ("{s:I,s:b,s:o}", "rev", (json_int_t) rev, "changes_only",
                    list->changes_only, "instances", items);
}

json_t *
standin_platform_ctl_findings (const MuxFindings *findings)
{
  json_t *items = json_array ();

  for (uint32_t i = 0; i < findings->count; i++)
    json_array_append_new (items, json_pack ("{s:s,s:s}", "place",
                                             findings->item[i].place, "text",
                                             findings->item[i].text));
  return json_pack ("{s:o}", "findings", items);
}
