#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include "base/error.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxSettingKind - how a setting's text is checked
 */
typedef enum
{
  MUX_SETTING_TEXT,
  MUX_SETTING_NAME,      /* see mux_name_valid() */
  MUX_SETTING_ADDRESS,   /* "ip:port", IP by number */
  MUX_SETTING_URL,       /* "http://ip:port" or "https://ip:port" */
  MUX_SETTING_INTEGER,   /* min to max */
  MUX_SETTING_ADDRESSES, /* addresses with commas between, may be empty */
  MUX_SETTING_SWITCH,    /* flag without a value; environment: 0 or 1 */
} MuxSettingKind;

/**
 * struct MuxSettingSpec - one setting
 * @flag: long flag without its dashes; NULL: environment only, for secrets,
 *   which a command line would show to every process of the instance
 * @env: environment variable; a flag goes before it
 * @kind: see enum MuxSettingKind
 * @unit: "ms", "MiB", … or ""
 * @min: least value of an INTEGER
 * @max: greatest value of an INTEGER
 * @fallback: default as text; NULL: must be given
 * @help: one line
 */
typedef struct
{
  const char *flag;
  const char *env;
  MuxSettingKind kind;
  const char *unit;
  int64_t min;
  int64_t max;
  const char *fallback;
  const char *help;
} MuxSettingSpec;

typedef struct MuxSettings MuxSettings;

/**
 * mux_settings_read() - flags, then environment, then defaults, all checked
 * @findings: receives everything wrong at once, an unknown flag or an unknown
 *   CUMINMUX_ variable among them
 * Return: NULL when there was any finding.
 */
MuxSettings *mux_settings_read (const MuxSettingSpec *specs,
                                uint32_t count,
                                int argc,
                                char **argv,
                                MuxFindings *findings);
void mux_settings_free (MuxSettings *settings);
/** mux_settings_text() - value by the index of its spec; "" when empty */
const char *mux_settings_text (const MuxSettings *settings, uint32_t index);
int64_t mux_settings_integer (const MuxSettings *settings, uint32_t index);
bool mux_settings_switch (const MuxSettings *settings, uint32_t index);
/** mux_settings_addresses() - entries of an ADDRESSES setting */
const char *const *mux_settings_addresses (const MuxSettings *settings,
                                           uint32_t index,
                                           uint32_t *count);
/** mux_settings_help() - the table as text for --help, or as Markdown rows */
void
mux_settings_help (const MuxSettingSpec *specs, uint32_t count, bool markdown);

#endif
