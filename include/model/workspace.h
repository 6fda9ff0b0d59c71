#ifndef MODEL_WORKSPACE_H
#define MODEL_WORKSPACE_H

#include "base/id.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/* Workspaces: customers with their keys and quotas. */

/* Size of a SHA-256 digest in bytes. */
#define MUX_KEY_DIGEST_LEN 32

/**
 * struct MuxKeyDigest - SHA-256 digest of a key; the key itself is a secret and
 * never stored
 */
typedef struct
{
  uint8_t byte[MUX_KEY_DIGEST_LEN];
} MuxKeyDigest;

/**
 * struct MuxQuota - sum of the resources of many tasks, or a limit of such a
 * sum, where 0 in a field means unlimited
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
 * @job_rate_milli: jobs per second, in thousandths, that it may submit under
 *   overload; 0: not set
 * @quota: limit of what its tasks hold at all workers together
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  uint32_t job_rate_milli;
  MuxQuota quota;
} MuxWorkspaceSpec;

/**
 * struct MuxWorkspaceKey - one of a workspace's keys
 * @digest: digest of the key
 * @workspace: index of its workspace in MuxWorkspaces.item
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
 * @key: sorted by digest; owned
 */
typedef struct
{
  uint32_t count;
  MuxWorkspaceSpec *item;
  uint32_t key_count;
  MuxWorkspaceKey *key;
} MuxWorkspaces;

/** mux_workspaces_new() - allocates zeroed entries for @count workspaces and
 * @key_count keys; both counts are 0
 * Return: NULL when out of memory; so does mux_workspaces_copy(). */
MuxWorkspaces *mux_workspaces_new (uint32_t count, uint32_t key_count);
MuxWorkspaces *mux_workspaces_copy (const MuxWorkspaces *from);
void mux_workspaces_free (MuxWorkspaces *workspaces);
/** mux_workspaces_sort() - sorts the keys; to be called after the last was
 * added Return: false: a key occurs twice. */
bool mux_workspaces_sort (MuxWorkspaces *workspaces);
/** mux_workspace_of_key() - finds the workspace of a key; NULL: unknown key */
const MuxWorkspaceSpec *mux_workspace_of_key (const MuxWorkspaces *workspaces,
                                              const MuxKeyDigest *digest);

MuxQuota mux_quota_add (MuxQuota sum, MuxSize size, uint32_t tasks);
MuxQuota mux_quota_sub (MuxQuota sum, MuxSize size, uint32_t tasks);
/** mux_quota_min() - returns the minimum in each dimension */
MuxQuota mux_quota_min (MuxQuota a, MuxQuota b);
/** mux_quota_sum() - returns the sum in each dimension */
MuxQuota mux_quota_sum (MuxQuota a, MuxQuota b);
/** mux_quota_raise() - returns @limit raised by @milli thousandths of it */
MuxQuota mux_quota_raise (MuxQuota limit, uint32_t milli);
/** mux_quota_tasks_left() - returns how many tasks of @size still fit into
 * @limit when @used is in use; UINT32_MAX: any number */
uint32_t mux_quota_tasks_left (MuxQuota limit, MuxQuota used, MuxSize size);
/** mux_quota_dominant_share_ppm() - returns the share of its limit that is used
 * of the dimension where that share is largest, in millionths */
uint32_t mux_quota_dominant_share_ppm (MuxQuota limit, MuxQuota used);

#endif
