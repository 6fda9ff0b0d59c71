#include "model/workspace.h"

#include <stdlib.h>
#include <string.h>

#define MILLI 1000
#define PPM UINT64_C (1000000)

MuxWorkspaces *
mux_workspaces_new (uint32_t count, uint32_t key_count)
{
  MuxWorkspaces *made = calloc (1, sizeof *made);

  if (made == NULL)
    return NULL;
  made->item = calloc (count > 0 ? count : 1, sizeof *made->item);
  made->key = calloc (key_count > 0 ? key_count : 1, sizeof *made->key);
  if (made->item != NULL && made->key != NULL)
    return made;
  mux_workspaces_free (made);
  return NULL;
}

MuxWorkspaces *
mux_workspaces_copy (const MuxWorkspaces *from)
{
  MuxWorkspaces *made = mux_workspaces_new (from->count, from->key_count);

  if (made == NULL)
    return NULL;
  made->count = from->count;
  made->key_count = from->key_count;
  memcpy (made->item, from->item, from->count * sizeof *from->item);
  memcpy (made->key, from->key, from->key_count * sizeof *from->key);
  return made;
}

void
mux_workspaces_free (MuxWorkspaces *workspaces)
{
  if (workspaces == NULL)
    return;
  free (workspaces->item);
  free (workspaces->key);
  free (workspaces);
}

/* The comparison need not take constant time: its timing reveals bytes of
 * digests, which do not give away a key. */
static int
by_digest (const void *a, const void *b)
{
  const MuxWorkspaceKey *x = a;
  const MuxWorkspaceKey *y = b;

  return memcmp (x->digest.byte, y->digest.byte, sizeof x->digest.byte);
}

bool
mux_workspaces_sort (MuxWorkspaces *workspaces)
{
  qsort (workspaces->key, workspaces->key_count, sizeof *workspaces->key,
         by_digest);
  for (uint32_t i = 1; i < workspaces->key_count; i++)
    if (by_digest (&workspaces->key[i - 1], &workspaces->key[i]) == 0)
      return false;
  return true;
}

const MuxWorkspaceSpec *
mux_workspace_of_key (const MuxWorkspaces *workspaces,
                      const MuxKeyDigest *digest)
{
  MuxWorkspaceKey wanted = { .digest = *digest };
  const MuxWorkspaceKey *key
      = bsearch (&wanted, workspaces->key, workspaces->key_count,
                 sizeof *workspaces->key, by_digest);

  return key != NULL ? &workspaces->item[key->workspace] : NULL;
}

MuxQuota
mux_quota_add (MuxQuota sum, MuxSize size, uint32_t tasks)
{
  sum.cpu_milli += (uint64_t) size.cpu_milli * tasks;
  sum.mem_mib += (uint64_t) size.mem_mib * tasks;
  sum.accels += (uint64_t) size.accels * tasks;
  return sum;
}

static uint64_t
subtract (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

MuxQuota
mux_quota_sub (MuxQuota sum, MuxSize size, uint32_t tasks)
{
  sum.cpu_milli = subtract (sum.cpu_milli, (uint64_t) size.cpu_milli * tasks);
  sum.mem_mib = subtract (sum.mem_mib, (uint64_t) size.mem_mib * tasks);
  sum.accels = subtract (sum.accels, (uint64_t) size.accels * tasks);
  return sum;
}

static uint64_t
min (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

MuxQuota
mux_quota_min (MuxQuota a, MuxQuota b)
{
  return (MuxQuota){ min (a.cpu_milli, b.cpu_milli), min (a.mem_mib, b.mem_mib),
                     min (a.accels, b.accels) };
}

MuxQuota
mux_quota_sum (MuxQuota a, MuxQuota b)
{
  return (MuxQuota){ a.cpu_milli + b.cpu_milli, a.mem_mib + b.mem_mib,
                     a.accels + b.accels };
}

static uint64_t
raised (uint64_t limit, uint32_t milli)
{
  return limit + limit * milli / MILLI;
}

MuxQuota
mux_quota_raise (MuxQuota limit, uint32_t milli)
{
  return (MuxQuota){ raised (limit.cpu_milli, milli),
                     raised (limit.mem_mib, milli),
                     raised (limit.accels, milli) };
}

static uint32_t
tasks_left (uint64_t limit, uint64_t used, uint32_t each)
{
  uint64_t n;

  if (limit == 0 || each == 0)
    return UINT32_MAX;
  n = subtract (limit, used) / each;
  return n < UINT32_MAX ? (uint32_t) n : UINT32_MAX;
}

uint32_t
mux_quota_tasks_left (MuxQuota limit, MuxQuota used, MuxSize size)
{
  uint32_t cpu = tasks_left (limit.cpu_milli, used.cpu_milli, size.cpu_milli);
  uint32_t mem = tasks_left (limit.mem_mib, used.mem_mib, size.mem_mib);
  uint32_t accels = tasks_left (limit.accels, used.accels, size.accels);

  return (uint32_t) min (cpu, min (mem, accels));
}

static uint64_t
share_ppm (uint64_t limit, uint64_t used)
{
  return limit > 0 ? used * PPM / limit : 0;
}

uint32_t
mux_quota_dominant_share_ppm (MuxQuota limit, MuxQuota used)
{
  uint64_t share = share_ppm (limit.cpu_milli, used.cpu_milli);
  uint64_t mem = share_ppm (limit.mem_mib, used.mem_mib);
  uint64_t accels = share_ppm (limit.accels, used.accels);

  if (mem > share)
    share = mem;
  if (accels > share)
    share = accels;
  return share < UINT32_MAX ? (uint32_t) share : UINT32_MAX;
}
