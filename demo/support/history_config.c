#include "demo/support/history_data.h"

#include <string.h>

static bool
read_change (MuxHistory *history, const json_t *json)
{
  Change *change = mux_list_add (&history->changes);

  return mux_history_get_text (json, "who", change->who, sizeof change->who)
         && mux_history_get_integer (json, "expect", &change->expect)
         && mux_history_get_text (json, "outcome", change->outcome,
                                  sizeof change->outcome)
         && mux_history_get_integer (json, "revision", &change->revision);
}

static bool
read_kept (MuxHistory *history, const json_t *json)
{
  Kept *kept = mux_list_add (&history->kept);

  return mux_history_get_text (json, "daemon", kept->daemon,
                               sizeof kept->daemon)
         && mux_history_get_integer (json, "revision", &kept->revision)
         && mux_history_get_text (json, "object", kept->object,
                                  sizeof kept->object)
         && mux_history_get_text (json, "who", kept->who, sizeof kept->who);
}

static bool
read_shown (MuxHistory *history, const json_t *json)
{
  Shown *shown = mux_list_add (&history->shown);

  return mux_history_get_text (json, "daemon", shown->daemon,
                               sizeof shown->daemon)
         && mux_history_get_integer (json, "life", &shown->life)
         && mux_history_get_integer (json, "revision", &shown->revision);
}

bool
mux_history_config (MuxHistory *history, const char *event, const json_t *json)
{
  if (strcmp (event, "change") == 0)
    return read_change (history, json);
  if (strcmp (event, "kept") == 0)
    return read_kept (history, json);
  if (strcmp (event, "shown") == 0)
    return read_shown (history, json);
  return false;
}

static Change *
find_change (const MuxHistory *history, const char *who)
{
  for (uint32_t i = 0; i < history->changes.count; i++)
    {
      Change *change = mux_list_at (&history->changes, i);

      if (strcmp (change->who, who) == 0)
        return change;
    }
  return NULL;
}

/* What all submissions of one change were told together. */
typedef struct
{
  bool accepted;
  bool refused; /* each of them was */
  int64_t revision;
} Told;

static Told
told_of (const MuxHistory *history, const char *who)
{
  Told told = { .refused = true };

  for (uint32_t i = 0; i < history->changes.count; i++)
    {
      const Change *change = mux_list_at (&history->changes, i);

      if (strcmp (change->who, who) != 0)
        continue;
      if (strcmp (change->outcome, "not_run") != 0)
        told.refused = false;
      if (strcmp (change->outcome, "done") != 0)
        continue;
      told.accepted = true;
      told.revision = change->revision;
    }
  return told;
}

static void
check_change (MuxHistory *history, const char *daemon, const Change *change)
{
  Told told = told_of (history, change->who);
  uint32_t rows = 0;
  int64_t revision = 0;

  for (uint32_t i = 0; i < history->kept.count; i++)
    {
      const Kept *kept = mux_list_at (&history->kept, i);

      if (strcmp (kept->daemon, daemon) != 0
          || strcmp (kept->who, change->who) != 0)
        continue;
      rows++;
      revision = kept->revision;
    }
  if (rows > 1 || (told.accepted && rows != 1) || (told.refused && rows != 0)
      || (told.accepted && revision != told.revision))
    mux_history_break (history, MUX_RULE_CONFIG_LOST,
                       "%s: change %s (accepted %d refused %d at %lld) has %u "
                       "rows, the last at %lld",
                       daemon, change->who, told.accepted, told.refused,
                       (long long) told.revision, rows, (long long) revision);
}

/* A change on condition of what its operator saw follows just that. */
static void
check_condition (MuxHistory *history, uint32_t index)
{
  const Kept *kept = mux_list_at (&history->kept, index);
  const Change *change = find_change (history, kept->who);
  int64_t before = 0;

  for (uint32_t i = 0; i < index; i++)
    {
      const Kept *other = mux_list_at (&history->kept, i);

      if (strcmp (other->daemon, kept->daemon) != 0)
        continue;
      if (other->revision >= kept->revision)
        mux_history_break (history, MUX_RULE_CONFIG_LOST,
                           "%s shows revision %lld after %lld", kept->daemon,
                           (long long) kept->revision,
                           (long long) other->revision);
      if (strcmp (other->object, kept->object) == 0)
        before = other->revision;
    }
  if (change != NULL && change->expect != before)
    mux_history_break (history, MUX_RULE_CONFIG_LOST,
                       "%s: change %s saw revision %lld but follows %lld",
                       kept->daemon, kept->who, (long long) change->expect,
                       (long long) before);
}

/* The first row of each daemon stands for it. */
static bool
first_of_daemon (const MuxHistory *history, uint32_t index)
{
  const Kept *kept = mux_list_at (&history->kept, index);

  for (uint32_t i = 0; i < index; i++)
    {
      const Kept *other = mux_list_at (&history->kept, i);

      if (strcmp (other->daemon, kept->daemon) == 0)
        return false;
    }
  return true;
}

static void
check_kept (MuxHistory *history)
{
  for (uint32_t i = 0; i < history->kept.count; i++)
    {
      const Kept *kept = mux_list_at (&history->kept, i);

      check_condition (history, i);
      if (!first_of_daemon (history, i))
        continue;
      for (uint32_t j = 0; j < history->changes.count; j++)
        {
          const Change *change = mux_list_at (&history->changes, j);

          if (find_change (history, change->who) == change)
            check_change (history, kept->daemon, change);
        }
    }
  if (history->kept.count == 0)
    for (uint32_t j = 0; j < history->changes.count; j++)
      check_change (history, "no daemon", mux_list_at (&history->changes, j));
}

static void
check_shown (MuxHistory *history, int64_t accepted)
{
  for (uint32_t i = 0; i < history->shown.count; i++)
    {
      const Shown *shown = mux_list_at (&history->shown, i);
      const Shown *later = NULL;

      for (uint32_t j = i + 1; later == NULL && j < history->shown.count; j++)
        {
          const Shown *other = mux_list_at (&history->shown, j);

          if (strcmp (other->daemon, shown->daemon) == 0)
            later = other;
        }
      if (later == NULL && shown->revision < accepted)
        mux_history_break (history, MUX_RULE_CONFIG_BACK,
                           "%s ends at revision %lld, %lld was accepted",
                           shown->daemon, (long long) shown->revision,
                           (long long) accepted);
      if (later != NULL && later->life == shown->life
          && later->revision < shown->revision)
        mux_history_break (history, MUX_RULE_CONFIG_BACK,
                           "%s went from revision %lld to %lld", shown->daemon,
                           (long long) shown->revision,
                           (long long) later->revision);
    }
}

void
mux_history_check_config (MuxHistory *history)
{
  int64_t accepted = 0;

  for (uint32_t i = 0; i < history->changes.count; i++)
    {
      const Change *change = mux_list_at (&history->changes, i);

      if (strcmp (change->outcome, "done") == 0 && change->revision > accepted)
        accepted = change->revision;
    }
  check_kept (history);
  check_shown (history, accepted);
}
