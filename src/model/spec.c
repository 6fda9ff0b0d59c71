#include "model/spec.h"

#include <string.h>

static const char *const kind_names[MUX_KIND_COUNT]
    = { "service", "batch", "gang", "long_running" };

static uint32_t
add_capped (uint32_t a, uint32_t b)
{
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static uint32_t
sub_floored (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

bool
mux_size_fits (MuxSize need, MuxSize free)
{
  return need.cpu_milli <= free.cpu_milli && need.mem_mib <= free.mem_mib
         && need.accels <= free.accels && need.slots <= free.slots;
}

MuxSize
mux_size_add (MuxSize a, MuxSize b)
{
  return (MuxSize){ add_capped (a.cpu_milli, b.cpu_milli),
                    add_capped (a.mem_mib, b.mem_mib),
                    add_capped (a.accels, b.accels),
                    add_capped (a.slots, b.slots) };
}

MuxSize
mux_size_sub (MuxSize a, MuxSize b)
{
  return (MuxSize){ sub_floored (a.cpu_milli, b.cpu_milli),
                    sub_floored (a.mem_mib, b.mem_mib),
                    sub_floored (a.accels, b.accels),
                    sub_floored (a.slots, b.slots) };
}

const char *
mux_kind_name (MuxKind kind)
{
  return kind_names[kind];
}

bool
mux_kind_parse (const char *text, MuxKind *kind)
{
  for (int i = 0; i < MUX_KIND_COUNT; i++)
    if (strcmp (text, kind_names[i]) == 0)
      {
        *kind = (MuxKind) i;
        return true;
      }
  return false;
}
