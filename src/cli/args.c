#include "arg_spec.h"

#include <argtable2.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PARSE_ERRORS_MAX 32
/* Longest ticket that daemons accept. */
#define TICKET_MAX 511

static const struct
{
  MuxArg arg;
  const char *name;
} environment[] = { { MUX_ARG_SERVER, "CUMINMUX_SERVER" },
                    { MUX_ARG_CA_FILE, "CUMINMUX_CA_FILE" },
                    { MUX_ARG_TIMEOUT_MS, "CUMINMUX_TIMEOUT_MS" },
                    { MUX_ARG_WHO, "CUMINMUX_WHO" },
                    { MUX_ARG_JSON, "CUMINMUX_JSON" } };

/**
 * struct Table - an argtable with the argument of each entry
 * @entry: argtable2 entries, terminated by @end
 * @arg: argument of each entry
 * @count: entries before @end
 */
typedef struct
{
  void *entry[MUX_ARG_COUNT + 1];
  MuxArg arg[MUX_ARG_COUNT];
  size_t count;
  struct arg_end *end;
} Table;

static void
table_add (Table *table, MuxArg arg, bool required)
{
  const MuxArgSpec *spec = &mux_arg_specs[arg];
  const char *help = spec->help;

  table->arg[table->count] = arg;
  if (spec->check == MUX_CHECK_SWITCH)
    table->entry[table->count++] = arg_lit0 (NULL, spec->flag, help);
  else
    table->entry[table->count++]
        = arg_strn (NULL, spec->flag, spec->datatype, required, 1, help);
}

static bool
table_make (Table *table, const MuxArgList *list)
{
  memset (table, 0, sizeof *table);
  for (int i = 0; list->required[i] != MUX_ARG_END; i++)
    table_add (table, list->required[i], true);
  for (int i = 0; list->optional[i] != MUX_ARG_END; i++)
    table_add (table, list->optional[i], false);
  for (int i = MUX_ARG_SERVER; i <= MUX_ARG_HELP; i++)
    table_add (table, (MuxArg) i, false);
  table->end = arg_end (PARSE_ERRORS_MAX);
  table->entry[table->count] = table->end;
  return arg_nullcheck (table->entry) == 0;
}

static void
table_free (Table *table)
{
  arg_freetable (table->entry, table->count + 1);
}

static void
spec_place (const MuxArgSpec *spec, char *out, size_t cap)
{
  snprintf (out, cap, "%s%s", spec->flag != NULL ? "--" : "",
            spec->flag != NULL ? spec->flag : spec->datatype);
}

static const MuxArgSpec *
spec_of_entry (const Table *table, const void *entry)
{
  for (size_t i = 0; i < table->count; i++)
    if (table->entry[i] == entry)
      return &mux_arg_specs[table->arg[i]];
  return NULL;
}

/* Adds a finding for each error of argtable2 except missing arguments, which it
 * checks only if there is no other error; see add_missing(). */
static void
add_parse_errors (const Table *table, MuxFindings *findings)
{
  for (int i = 0; i < table->end->count; i++)
    {
      const MuxArgSpec *spec = spec_of_entry (table, table->end->parent[i]);
      const char *given = table->end->argval[i];
      char place[64];

      if (spec == NULL)
        {
          mux_findings_add (findings, given != NULL ? given : "arguments",
                            "is not known here, or lacks its value");
          continue;
        }
      spec_place (spec, place, sizeof place);
      if (table->end->error[i] != ARG_ELIMIT)
        mux_findings_add (findings, place, "given more than once");
    }
}

static void
add_missing (const MuxArgList *list, const MuxArgs *args, MuxFindings *findings)
{
  char place[64];

  for (int i = 0; list->required[i] != MUX_ARG_END; i++)
    if (args->text[list->required[i]] == NULL)
      {
        spec_place (&mux_arg_specs[list->required[i]], place, sizeof place);
        mux_findings_add (findings, place, "must be given");
      }
}

static void
take_values (const Table *table, MuxArgs *args)
{
  for (size_t i = 0; i < table->count; i++)
    {
      MuxArg arg = table->arg[i];
      const struct arg_str *str = table->entry[i];
      const struct arg_lit *lit = table->entry[i];

      if (mux_arg_specs[arg].check == MUX_CHECK_SWITCH)
        args->text[arg] = lit->count > 0 ? "1" : NULL;
      else if (str->count > 0)
        args->text[arg] = str->sval[0];
    }
}

static void
take_environment (MuxCliHost *host, MuxArgs *args)
{
  for (size_t i = 0; i < sizeof environment / sizeof environment[0]; i++)
    {
      MuxArg arg = environment[i].arg;
      const char *text = host->setting (host, environment[i].name);

      if (args->text[arg] == NULL && text != NULL && *text != 0)
        args->text[arg] = text;
    }
}

static bool
printable (const char *text, size_t max)
{
  size_t len = strlen (text);

  for (size_t i = 0; i < len; i++)
    if ((unsigned char) text[i] < ' ' || (unsigned char) text[i] > '~')
      return false;
  return len >= 1 && len <= max;
}

static bool
parse_number (const char *text, int64_t *value)
{
  char *end;

  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == 0
         && (isdigit ((unsigned char) *text) || *text == '-');
}

static void
check_number (const MuxArgSpec *spec,
              const char *place,
              const char *text,
              int64_t *value,
              MuxFindings *findings)
{
  if (!parse_number (text, value))
    mux_findings_add (findings, place, "must be a whole number, not \"%s\"",
                      text);
  else if (*value < spec->min || *value > spec->max)
    mux_findings_add (findings, place,
                      "must be %" PRId64 " to %" PRId64 ", not %" PRId64,
                      spec->min, spec->max, *value);
}

static void
check_arg (MuxArg arg, MuxArgs *args, MuxFindings *findings)
{
  const MuxArgSpec *spec = &mux_arg_specs[arg];
  const char *text = args->text[arg];
  char place[64];
  MuxId id;

  args->number[arg] = spec->fallback;
  if (text == NULL)
    return;
  spec_place (spec, place, sizeof place);
  if (spec->check == MUX_CHECK_NUMBER)
    check_number (spec, place, text, &args->number[arg], findings);
  else if (spec->check == MUX_CHECK_NAME && !mux_name_valid (text))
    mux_findings_add (findings, place,
                      "must be 1 to 47 of a-z A-Z 0-9 . _ -, not \"%s\"", text);
  else if (spec->check == MUX_CHECK_ID && !mux_id_parse (text, &id))
    mux_findings_add (findings, place,
                      "must be 32 hexadecimal digits, not \"%s\"", text);
  else if (spec->check == MUX_CHECK_KEY && !printable (text, MUX_KEY_LEN - 1))
    mux_findings_add (findings, place, "must be 1 to 128 printable bytes");
  else if (spec->check == MUX_CHECK_TICKET && !printable (text, TICKET_MAX))
    mux_findings_add (findings, place, "must be 1 to %d printable bytes",
                      TICKET_MAX);
  else if (spec->check == MUX_CHECK_WHO && !printable (text, MUX_NAME_LEN - 1))
    mux_findings_add (findings, place, "must be 1 to 47 printable bytes");
  else if (spec->check == MUX_CHECK_YES_NO && strcmp (text, "yes") != 0
           && strcmp (text, "no") != 0)
    mux_findings_add (findings, place, "must be yes or no, not \"%s\"", text);
  else if (spec->check == MUX_CHECK_SWITCH && strcmp (text, "0") != 0
           && strcmp (text, "1") != 0)
    mux_findings_add (findings, place, "must be 0 or 1, not \"%s\"", text);
  else if (spec->check == MUX_CHECK_SWITCH)
    args->number[arg] = *text == '1';
}

bool
mux_args_parse (const MuxArgList *list,
                MuxCliHost *host,
                int argc,
                char **argv,
                MuxArgs *args,
                MuxFindings *findings)
{
  Table table;

  memset (args, 0, sizeof *args);
  if (!table_make (&table, list))
    {
      table_free (&table);
      mux_findings_add (findings, "arguments", "out of memory");
      return false;
    }
  arg_parse (argc, argv, table.entry);
  take_values (&table, args);
  add_parse_errors (&table, findings);
  add_missing (list, args, findings);
  take_environment (host, args);
  for (int i = 0; i < MUX_ARG_COUNT; i++)
    check_arg ((MuxArg) i, args, findings);
  table_free (&table);
  return findings->count == 0;
}

/* Returns the number of words of the global option at the front of @argv, 0 if
 * there is none. */
static int
global_option_words (int argc, char **argv)
{
  for (int i = MUX_ARG_SERVER; i < MUX_ARG_HELP; i++)
    {
      const MuxArgSpec *spec = &mux_arg_specs[i];
      bool has_value = spec->check != MUX_CHECK_SWITCH;
      char flag[64];
      size_t len;

      spec_place (spec, flag, sizeof flag);
      len = strlen (flag);
      if (strncmp (argv[0], flag, len) != 0)
        continue;
      if (argv[0][len] == 0)
        return has_value && argc > 1 ? 2 : 1;
      if (argv[0][len] == '=')
        return 1;
    }
  return 0;
}

int
mux_args_leading (int argc, char **argv)
{
  int leading = 0;
  int words;

  while (
      leading + 1 < argc
      && (words = global_option_words (argc - leading - 1, argv + leading + 1))
             > 0)
    leading += words;
  return leading;
}

void
mux_args_help (const MuxArgList *list, const char *verb, FILE *out)
{
  Table table;

  if (table_make (&table, list))
    {
      fprintf (out, "usage: cuminmux %s", verb);
      arg_print_syntax (out, table.entry, "\n\n");
      arg_print_glossary (out, table.entry, "  %-24s %s\n");
    }
  table_free (&table);
}

void
mux_args_fields_to_flags (MuxFindings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    {
      MuxFinding *finding = &findings->item[i];
      const char *dot = strrchr (finding->place, '.');
      const char *last = dot != NULL ? dot + 1 : finding->place;

      for (int arg = 0; arg < MUX_ARG_COUNT; arg++)
        if (mux_arg_specs[arg].field != NULL
            && strcmp (mux_arg_specs[arg].field, last) == 0)
          {
            spec_place (&mux_arg_specs[arg], finding->place,
                        sizeof finding->place);
            break;
          }
    }
}
