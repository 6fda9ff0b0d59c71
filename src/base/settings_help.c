#include "base/settings.h"

#include <inttypes.h>
#include <stdio.h>

#define TEXT_LEN 64

/* Describes the valid values. */
static void
describe_range (const MuxSettingSpec *spec, char out[TEXT_LEN])
{
  static const char *const form[] = {
    [MUX_SETTING_TEXT] = "text",       [MUX_SETTING_NAME] = "name",
    [MUX_SETTING_ADDRESS] = "ip:port", [MUX_SETTING_URL] = "http[s]://ip:port",
    [MUX_SETTING_INTEGER] = "",        [MUX_SETTING_ADDRESSES] = "ip:port,…",
    [MUX_SETTING_SWITCH] = "switch",
  };

  if (spec->kind == MUX_SETTING_INTEGER)
    snprintf (out, TEXT_LEN, "%" PRId64 " to %" PRId64 "%s%s", spec->min,
              spec->max, *spec->unit != 0 ? " " : "", spec->unit);
  else
    snprintf (out, TEXT_LEN, "%s", form[spec->kind]);
}

static const char *
describe_default (const MuxSettingSpec *spec)
{
  if (spec->fallback == NULL)
    return "must be given";
  return *spec->fallback != 0 ? spec->fallback : "none";
}

void
mux_settings_help (const MuxSettingSpec *specs, uint32_t count, bool markdown)
{
  if (markdown)
    printf ("| flag | variable | values | default | meaning |\n"
            "|---|---|---|---|---|\n");
  for (uint32_t i = 0; i < count; i++)
    {
      const MuxSettingSpec *spec = &specs[i];
      char flag[TEXT_LEN] = "(variable only)";
      char range[TEXT_LEN];

      describe_range (spec, range);
      if (markdown && spec->flag != NULL)
        snprintf (flag, sizeof flag, "`--%s`", spec->flag);
      else if (spec->flag != NULL)
        snprintf (flag, sizeof flag, "--%s", spec->flag);
      if (markdown)
        printf ("| %s | `%s` | %s | %s | %s |\n", flag, spec->env, range,
                describe_default (spec), spec->help);
      else
        printf ("  %-24s %s\n      %s\n      %s; default: %s\n", flag,
                spec->env, spec->help, range, describe_default (spec));
    }
}
