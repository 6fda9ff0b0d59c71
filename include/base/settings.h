#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include "base/error.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxSettingKind - type of a setting
 */
typedef enum
{
  MUX_SETTING_TEXT,
  MUX_SETTING_NAME,      /* see mux_name_valid() */
  MUX_SETTING_ADDRESS,   /* "ip:port", numeric */
  MUX_SETTING_URL,       /* "http://ip:port" or "https://ip:port" */
  MUX_SETTING_INTEGER,   /* within min to max */
  MUX_SETTING_ADDRESSES, /* comma-separated, may be empty */
  MUX_SETTING_SWITCH,    /* flag without a value; variable: 0 or 1 */
} MuxSettingKind;

/**
 * struct MuxSettingSpec - one setting
 * @flag: long flag without its dashes; NULL: environment only, for secrets,
 *   which a command line would show to every process of the instance
 * @env: environment variable; the flag takes precedence
 * @kind: type
 * @unit: "ms", "MiB", … or ""
 * @min: least value of an INTEGER
 * @max: greatest value of an INTEGER
 * @fallback: default as text; NULL: the setting is required; "": it may stay
 *   unset
 * @help: one-line description
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
 * mux_settings_read() - read and validate the settings from flags, environment
 * and defaults, in this order of precedence
 * @findings: receives all errors, among them unknown flags and unknown
 *   CUMINMUX_ variables
 * Return: NULL if there was any error.
 */
MuxSettings *mux_settings_read (const MuxSettingSpec *specs,
                                uint32_t count,
                                int argc,
                                char **argv,
                                MuxFindings *findings);
void mux_settings_free (MuxSettings *settings);
/** mux_settings_text() - value of the setting at @index of the specs; "" if
 * unset */
const char *mux_settings_text (const MuxSettings *settings, uint32_t index);
int64_t mux_settings_integer (const MuxSettings *settings, uint32_t index);
bool mux_settings_switch (const MuxSettings *settings, uint32_t index);
/** mux_settings_addresses() - entries of an ADDRESSES setting, owned by
 * @settings */
const char *const *mux_settings_addresses (const MuxSettings *settings,
                                           uint32_t index,
                                           uint32_t *count);
/** mux_settings_help() - print the settings as text for --help, or as a
 * Markdown table */
void
mux_settings_help (const MuxSettingSpec *specs, uint32_t count, bool markdown);

#endif
