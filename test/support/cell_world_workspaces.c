#include "support/cell_world_private.h"

#include "support/test.h"

/* Workspaces of the simulated cluster, their keys and what they have running.
 */

#define MILLI 1000
/* The previous quota is allowed so long after a change: a daemon learns of the
 * change within that time. */
#define CHANGE_MS 3000

static MuxKeyDigest
digest_of (const char *key)
{
  MuxKeyDigest digest = { { 0 } };

  memcpy (digest.byte, key, strnlen (key, sizeof digest.byte));
  return digest;
}

MuxWorkspaces *
world_workspaces (const char *const *names, uint32_t count, MuxQuota quota)
{
  MuxWorkspaces *made = mux_workspaces_new (count, count);

  assert_non_null (made);
  made->count = count;
  made->key_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (made->item[i].name, MUX_NAME_LEN, "%s", names[i]);
      made->item[i].quota = quota;
      made->key[i].digest = digest_of (names[i]);
      made->key[i].workspace = i;
    }
  assert_true (mux_workspaces_sort (made));
  return made;
}

void
world_set_key (World *world, const char *key)
{
  snprintf (world->key, sizeof world->key, "%s", key);
}

void
world_copy_key (const World *world, MuxRequest *request)
{
  request->has_key = world->key[0] != 0;
  request->key = digest_of (world->key);
}

const char *
world_workspace_of (const World *world)
{
  MuxKeyDigest digest = digest_of (world->key);
  const MuxWorkspaceSpec *workspace = NULL;

  if (world->workspaces != NULL)
    workspace = mux_workspace_of_key (world->workspaces, &digest);
  return workspace != NULL ? workspace->name : "";
}

static const char *
workspace_of_job (const World *world, const char *id)
{
  for (uint32_t i = 0; i < world->job_count; i++)
    if (strcmp (world->job[i].id, id) == 0)
      return world->job[i].workspace;
  return "";
}

static MuxQuota
running_at (const World *world, const WorldWorker *worker, const char *name)
{
  MuxQuota sum = { 0 };

  for (uint32_t i = 0; i < worker->run_end; i++)
    {
      const WorldRun *run = &worker->run[i];

      if (run->used && run->number == 0
          && strcmp (workspace_of_job (world, run->task.job), name) == 0)
        sum = mux_quota_add (sum, world_size_of (world, &run->task), 1);
    }
  return sum;
}

MuxQuota
world_running (const World *world, const char *workspace)
{
  MuxQuota sum = { 0 };

  for (uint32_t i = 0; i < world->worker_end; i++)
    if (world->worker[i].used)
      sum = mux_quota_sum (sum,
                           running_at (world, &world->worker[i], workspace));
  return sum;
}

static const MuxWorkspaceSpec *
find (const MuxWorkspaces *workspaces, const char *name)
{
  for (uint32_t i = 0; workspaces != NULL && i < workspaces->count; i++)
    if (strcmp (workspaces->item[i].name, name) == 0)
      return &workspaces->item[i];
  return NULL;
}

static bool
is_under (uint64_t limit, uint64_t running)
{
  return limit == 0 || running <= limit;
}

/* The quota may be exceeded by one task. */
static bool
is_within (const World *world,
           const MuxWorkspaceSpec *spec,
           MuxQuota running,
           MuxSize task)
{
  MuxQuota limit = mux_quota_raise (spec->quota, world->quota_overrun_milli);
  MuxQuota less = mux_quota_sub (running, task, 1);

  return is_under (limit.cpu_milli, less.cpu_milli)
         && is_under (limit.mem_mib, less.mem_mib)
         && is_under (limit.accels, less.accels);
}

void
world_check_quota (World *world, const MuxTaskRef *task)
{
  const char *name = workspace_of_job (world, task->job);
  const MuxWorkspaceSpec *now = find (world->workspaces, name);
  const MuxWorkspaceSpec *before = find (world->previous_workspaces, name);
  bool counts = world->now_ms - world->workspaces_ms < CHANGE_MS;
  MuxSize size = world_size_of (world, task);
  MuxQuota running;

  if (name[0] == 0 || now == NULL || world->late_call_running)
    return;
  running = world_running (world, name);
  if (is_within (world, now, running, size)
      || (counts
          && (before == NULL || is_within (world, before, running, size))))
    return;
  world->over_quota++;
  print_message ("%s.%u.%u at %lld: workspace %s has %llu cpu_milli running\n",
                 task->job, task->step, task->index, (long long) world->now_ms,
                 name, (unsigned long long) running.cpu_milli);
}

void
world_workspaces_free (World *world)
{
  mux_workspaces_free (world->workspaces);
  mux_workspaces_free (world->previous_workspaces);
}
