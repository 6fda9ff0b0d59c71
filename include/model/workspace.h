#ifndef MODEL_WORKSPACE_H
#define MODEL_WORKSPACE_H

#include "base/id.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/* Workspaces: who may call, and how much each may have running. */

/* Bytes of a SHA-256 digest. */
#define MUX_KEY_DIGEST_LEN 32

/**
 * struct MuxKeyDigest - stands for a key, which is a secret and kept nowhere
 */
typedef struct
{
  uint8_t byte[MUX_KEY_DIGEST_LEN];
} MuxKeyDigest;

/**
 * struct MuxQuota - sums over many tasks; in a limit 0 means that there is none
 */
typedef struct
{
  uint64_t cpu_milli;
  uint64_t mem_mib;
  uint64_t accels;
} MuxQuota;

/**
 * struct MuxWorkspaceSpec - a workspace of a configuration
 * @name: unique among workspaces
 * @job_rate_milli: jobs a second, in thousandths, that it may send when all is
 *   full; 0: none was set
 * @quota: what its tasks may hold at all workers together
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  uint32_t job_rate_milli;
  MuxQuota quota;
} MuxWorkspaceSpec;

/**
 * struct MuxWorkspaceKey - one of a workspace's keys
 * @workspace: index of its workspace
 */
typedef struct
{
  MuxKeyDigest digest;
  uint32_t workspace;
} MuxWorkspaceKey;

/**
 * struct MuxWorkspaces - all workspaces of a configuration
 * @count: used entries of @item
 * @item: owned
 * @key_count: used entries of @key
 * @key: in the order of their digests; owned
 */
typedef struct
{
  uint32_t count;
  MuxWorkspaceSpec *item;
  uint32_t key_count;
  MuxWorkspaceKey *key;
} MuxWorkspaces;

/** mux_workspaces_new() - zeroed, with room for so many of each
 * Return: NULL when memory is out; so does mux_workspaces_copy(). */
MuxWorkspaces *mux_workspaces_new (uint32_t count, uint32_t key_count);
MuxWorkspaces *mux_workspaces_copy (const MuxWorkspaces *from);
void mux_workspaces_free (MuxWorkspaces *workspaces);
/** mux_workspaces_sort() - once all keys are there
 * Return: false: one key stands twice. */
bool mux_workspaces_sort (MuxWorkspaces *workspaces);
/** mux_workspace_of_key() - NULL: the key is nobody's */
const MuxWorkspaceSpec *mux_workspace_of_key (const MuxWorkspaces *workspaces,
                                              const MuxKeyDigest *digest);

MuxQuota mux_quota_add (MuxQuota sum, MuxSize size, uint32_t tasks);
MuxQuota mux_quota_sub (MuxQuota sum, MuxSize size, uint32_t tasks);
/** mux_quota_least() - the smaller of both in each dimension */
MuxQuota mux_quota_min (MuxQuota a, MuxQuota b);
/** mux_quota_sum() - of both in each dimension */
MuxQuota mux_quota_sum (MuxQuota a, MuxQuota b);
/** mux_quota_widen() - a limit and so many thousandths more */
MuxQuota mux_quota_raise (MuxQuota limit, uint32_t milli);
/** mux_quota_fits() - tasks of @size that stay within @limit beside @used
 * Return: UINT32_MAX: any number. */
uint32_t mux_quota_tasks_left (MuxQuota limit, MuxQuota used, MuxSize size);
/** mux_quota_share_ppm() - of the dimension that is used most of its limit */
uint32_t mux_quota_dominant_share_ppm (MuxQuota limit, MuxQuota used);

#endif
