#include "base/settings.h"

#include "base/address.h"
#include "base/id.h"

#include <argtable2.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENV_PREFIX "CUMINMUX_"
#define PLACE_LEN 64

extern char **environ;

typedef struct
{
  char *text;
  int64_t integer;
  char **address;
  uint32_t address_count;
} Value;

struct MuxSettings
{
  uint32_t count;
  Value value[];
};

/* The argtable of the command line: one entry per setting with a flag, then the
 * end marker, which collects the errors. */
typedef struct
{
  void **table;
  uint32_t used;
  struct arg_end *end;
} Flags;

/* Text of a setting, and the flag or variable that gave it, for messages. */
typedef struct
{
  const char *text;
  char place[PLACE_LEN];
} Given;

static bool
parse_integer (const char *text, int64_t *value)
{
  char *end;
  long long n;

  if (*text == 0 || strspn (text, "-0123456789") != strlen (text))
    return false;
  errno = 0;
  n = strtoll (text, &end, 10);
  if (errno != 0 || *end != 0 || end == text)
    return false;
  *value = n;
  return true;
}

static bool
address_valid (const char *text)
{
  struct sockaddr_storage addr;
  socklen_t len;

  return mux_address_parse (text, &addr, &len);
}

static bool
url_valid (const char *text)
{
  if (strncmp (text, "http://", 7) == 0)
    return address_valid (text + 7);
  if (strncmp (text, "https://", 8) == 0)
    return address_valid (text + 8);
  return false;
}

static bool
split_addresses (Value *value, const char *place, MuxFindings *findings)
{
  char *rest = value->text;
  uint32_t entries = 1;
  uint32_t before = findings->count + findings->dropped;

  if (*rest == 0)
    return true;
  for (const char *p = rest; *p != 0; p++)
    entries += *p == ',';
  value->address = calloc (entries, sizeof *value->address);
  if (value->address == NULL)
    {
      mux_findings_add (findings, place, "out of memory");
      return false;
    }
  while (rest != NULL)
    {
      char *entry = strsep (&rest, ",");

      if (!address_valid (entry))
        mux_findings_add (findings, place,
                          "\"%s\" is no ip:port with the IP by number", entry);
      value->address[value->address_count++] = entry;
    }
  return findings->count + findings->dropped == before;
}

static void
check_integer (const MuxSettingSpec *spec,
               const char *place,
               Value *value,
               MuxFindings *findings)
{
  if (!parse_integer (value->text, &value->integer))
    mux_findings_add (findings, place, "\"%s\" is no whole number",
                      value->text);
  else if (value->integer < spec->min || value->integer > spec->max)
    mux_findings_add (findings, place,
                      "%" PRId64 " is not in %" PRId64 " to %" PRId64,
                      value->integer, spec->min, spec->max);
}

static void
check_value (const MuxSettingSpec *spec,
             const char *place,
             Value *value,
             MuxFindings *findings)
{
  const char *text = value->text;
  /* An empty default makes the setting optional. */
  bool unset = *text == 0 && spec->fallback != NULL && *spec->fallback == 0;

  if (unset)
    return;
  switch (spec->kind)
    {
    case MUX_SETTING_TEXT:
      if (*text == 0)
        mux_findings_add (findings, place, "is empty");
      return;
    case MUX_SETTING_NAME:
      if (!mux_name_valid (text))
        mux_findings_add (findings, place,
                          "\"%s\" is not 1 to %d of a-z A-Z 0-9 . _ -", text,
                          MUX_NAME_LEN - 1);
      return;
    case MUX_SETTING_ADDRESS:
      if (!address_valid (text))
        mux_findings_add (findings, place,
                          "\"%s\" is no ip:port with the IP by number", text);
      return;
    case MUX_SETTING_URL:
      if (!url_valid (text))
        mux_findings_add (findings, place,
                          "\"%s\" is no http://ip:port or https://ip:port",
                          text);
      return;
    case MUX_SETTING_INTEGER:
      check_integer (spec, place, value, findings);
      return;
    case MUX_SETTING_ADDRESSES:
      split_addresses (value, place, findings);
      return;
    case MUX_SETTING_SWITCH:
      if (strcmp (text, "0") != 0 && strcmp (text, "1") != 0)
        mux_findings_add (findings, place, "\"%s\" is neither 0 nor 1", text);
      value->integer = text[0] == '1';
      return;
    }
}

static bool
flags_new (const MuxSettingSpec *specs, uint32_t count, Flags *flags)
{
  flags->used = 0;
  flags->table = calloc (count + 1, sizeof *flags->table);
  if (flags->table == NULL)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      if (specs[i].flag == NULL)
        continue;
      flags->table[flags->used++]
          = specs[i].kind == MUX_SETTING_SWITCH
                ? (void *) arg_lit0 (NULL, specs[i].flag, specs[i].help)
                : (void *) arg_str0 (NULL, specs[i].flag, NULL, specs[i].help);
    }
  flags->end = arg_end (MUX_FINDINGS_MAX);
  flags->table[flags->used++] = flags->end;
  return arg_nullcheck (flags->table) == 0;
}

static void
flags_free (Flags *flags)
{
  if (flags->table == NULL)
    return;
  arg_freetable (flags->table, flags->used);
  free (flags->table);
}

/* The message omits the value, which may be a secret given by mistake. */
static void
flags_finding (const Flags *flags, int index, MuxFindings *findings)
{
  const struct arg_hdr *parent = flags->end->parent[index];
  const char *given = flags->end->argval[index];
  char place[PLACE_LEN] = "command line";
  const char *text = "out of memory";

  if (parent->longopts != NULL)
    snprintf (place, sizeof place, "--%s", parent->longopts);
  else if (given != NULL)
    snprintf (place, sizeof place, "%.*s", (int) strcspn (given, "="), given);
  switch (flags->end->error[index])
    {
    case ARG_ELIMIT:
      text = "there are more errors than can be listed";
      break;
    case ARG_ENOMATCH:
      text = "no argument without a flag is taken";
      break;
    case ARG_ELONGOPT:
      text = "no such flag";
      break;
    case ARG_EMISSARG:
      text = "a value is missing";
      break;
    default:
      /* argtable checks nothing else of an entry than how often it is given. */
      if (parent->longopts != NULL)
        text = "is given twice";
    }
  mux_findings_add (findings, place, "%s", text);
}

static void
flags_parse (Flags *flags, int argc, char **argv, MuxFindings *findings)
{
  if (argc < 1 || arg_parse (argc, argv, flags->table) == 0)
    return;
  for (int i = 0; i < flags->end->count; i++)
    flags_finding (flags, i, findings);
}

static const char *
flag_text (const MuxSettingSpec *spec, const void *entry)
{
  if (spec->kind == MUX_SETTING_SWITCH)
    return ((const struct arg_lit *) entry)->count > 0 ? "1" : NULL;
  /* argtable has already reported an empty value as missing. */
  if (((const struct arg_str *) entry)->count == 0
      || *((const struct arg_str *) entry)->sval[0] == 0)
    return NULL;
  return ((const struct arg_str *) entry)->sval[0];
}

static Given
find_given (const MuxSettingSpec *spec, const void *flag)
{
  Given given = { NULL, "" };

  if (flag != NULL)
    {
      given.text = flag_text (spec, flag);
      snprintf (given.place, sizeof given.place, "--%s", spec->flag);
    }
  if (given.text != NULL)
    return given;
  given.text = getenv (spec->env);
  if (given.text != NULL)
    {
      snprintf (given.place, sizeof given.place, "%s", spec->env);
      return given;
    }
  given.text = spec->fallback;
  if (flag == NULL)
    snprintf (given.place, sizeof given.place, "%s", spec->env);
  return given;
}

static bool
env_known (const MuxSettingSpec *specs,
           uint32_t count,
           const char *name,
           size_t len)
{
  for (uint32_t i = 0; i < count; i++)
    if (strlen (specs[i].env) == len && memcmp (specs[i].env, name, len) == 0)
      return true;
  return false;
}

static void
check_environment (const MuxSettingSpec *specs,
                   uint32_t count,
                   MuxFindings *findings)
{
  for (char **entry = environ; *entry != NULL; entry++)
    {
      size_t len = strcspn (*entry, "=");
      char place[PLACE_LEN];

      if (strncmp (*entry, ENV_PREFIX, strlen (ENV_PREFIX)) != 0
          || env_known (specs, count, *entry, len))
        continue;
      snprintf (place, sizeof place, "%.*s", (int) len, *entry);
      mux_findings_add (findings, place, "no setting has this variable");
    }
}

static void
read_value (const MuxSettingSpec *spec,
            const void *flag,
            Value *value,
            MuxFindings *findings)
{
  Given given = find_given (spec, flag);

  if (given.text == NULL)
    {
      mux_findings_add (findings, given.place, "must be given%s%s",
                        flag != NULL ? ", or else as " : "",
                        flag != NULL ? spec->env : "");
      return;
    }
  value->text = strdup (given.text);
  if (value->text == NULL)
    {
      mux_findings_add (findings, given.place, "out of memory");
      return;
    }
  check_value (spec, given.place, value, findings);
}

MuxSettings *
mux_settings_read (const MuxSettingSpec *specs,
                   uint32_t count,
                   int argc,
                   char **argv,
                   MuxFindings *findings)
{
  uint32_t before = findings->count + findings->dropped;
  MuxSettings *settings
      = calloc (1, sizeof *settings + count * sizeof settings->value[0]);
  Flags flags = { 0 };
  uint32_t flag = 0;

  if (settings == NULL || !flags_new (specs, count, &flags))
    {
      mux_findings_add (findings, "command line", "out of memory");
      flags_free (&flags);
      free (settings);
      return NULL;
    }
  settings->count = count;
  flags_parse (&flags, argc, argv, findings);
  for (uint32_t i = 0; i < count; i++)
    read_value (&specs[i], specs[i].flag != NULL ? flags.table[flag++] : NULL,
                &settings->value[i], findings);
  check_environment (specs, count, findings);
  flags_free (&flags);
  if (findings->count + findings->dropped == before)
    return settings;
  mux_settings_free (settings);
  return NULL;
}

void
mux_settings_free (MuxSettings *settings)
{
  if (settings == NULL)
    return;
  for (uint32_t i = 0; i < settings->count; i++)
    {
      free (settings->value[i].text);
      free (settings->value[i].address);
    }
  free (settings);
}

const char *
mux_settings_text (const MuxSettings *settings, uint32_t index)
{
  return settings->value[index].text;
}

int64_t
mux_settings_integer (const MuxSettings *settings, uint32_t index)
{
  return settings->value[index].integer;
}

bool
mux_settings_switch (const MuxSettings *settings, uint32_t index)
{
  return settings->value[index].integer != 0;
}

const char *const *
mux_settings_addresses (const MuxSettings *settings,
                        uint32_t index,
                        uint32_t *count)
{
  *count = settings->value[index].address_count;
  return (const char *const *) settings->value[index].address;
}
