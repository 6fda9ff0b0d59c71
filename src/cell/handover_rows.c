#include "cell_private.h"

#include <stdio.h>

/*
 * The last handovers, in the claim's row: a list of [daemon, reason, age in
 * ms], oldest first.  The age counts from when the row is read.  A daemon that
 * reads the row long after it was written takes them as more recent than they
 * are, which only delays the next handover.
 */

/* Return: false if the entry is malformed, or of a reason not known here. */
static bool
read_handover (const MuxCell *cell, const json_t *entry, MuxHandover *handover)
{
  const char *from = json_string_value (json_array_get (entry, 0));
  const char *reason = json_string_value (json_array_get (entry, 1));
  const json_t *age = json_array_get (entry, 2);

  handover->reason = mux_handover_reason_parse (reason);
  if (from == NULL || !mux_name_valid (from)
      || handover->reason == MUX_HANDOVER_NONE || !json_is_integer (age)
      || json_integer_value (age) < 0
      || json_integer_value (age) >= MUX_HANDOVER_MEMORY_MS)
    return false;
  snprintf (handover->from, sizeof handover->from, "%s", from);
  handover->at_ms = cell->time.now_ms - json_integer_value (age);
  return true;
}

void
cell_handovers_read (const MuxCell *cell,
                     MuxHandovers *handovers,
                     const json_t *claim)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (claim, "handovers"), i, entry)
  {
    MuxHandover handover;

    if (read_handover (cell, entry, &handover))
      mux_handovers_add (handovers, &handover);
  }
}

json_t *
cell_handovers_to_json (const MuxCell *cell, const MuxHandovers *handovers)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < handovers->count; i++)
    {
      const MuxHandover *handover = &handovers->item[i];
      int64_t age_ms = cell->time.now_ms - handover->at_ms;

      if (age_ms < MUX_HANDOVER_MEMORY_MS)
        (void) json_array_append_new (
            list, json_pack ("[s, s, I]", handover->from,
                             mux_handover_reason_name (handover->reason),
                             (json_int_t) age_ms));
    }
  return list;
}
