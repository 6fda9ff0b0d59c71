#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include "base/error.h"
#include "base/id.h"
#include "model/spec.h"
#include "demo/support/proc.h"
#include "support/tcp_forwarder.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#define MUX_CLUSTER_DAEMONS_MAX 16
#define MUX_CLUSTER_WORKERS_MAX 64
#define MUX_PATH_LEN 256

/**
 * struct MuxClusterOptions - the platform stand-in, daemons and workers
 * @bin: folder of the programs
 * @scratch: folder for logs
 * @data_centres: their names; daemons and workers are spread in turn
 * @data_centre_count: entries of @data_centres
 * @daemons: in all
 * @workers: in all
 * @capacity: of each worker
 * @linked: a forwarder before each worker, and before each daemon's two sides
 * @lease_ms: the daemons' setting; 0: their default
 */
typedef struct
{
  const char *bin;
  const char *scratch;
  const char *const *data_centres;
  uint32_t data_centre_count;
  uint32_t daemons;
  uint32_t workers;
  MuxSize capacity;
  bool linked;
  uint32_t lease_ms;
} MuxClusterOptions;

/**
 * struct MuxMember - one process of the cluster
 * @proc: the process; NULL while it is dead
 * @name: instance
 * @data_centre: where
 * @addr: "ip:port" by which its HTTP side is reached
 * @direct: the same without the forwarder
 * @link: forwarder before its HTTP side, or NULL
 * @peer_link: forwarder before a daemon's peer side, or NULL
 * @peer_addr: by which peers reach a daemon, when linked
 * @lives: times that it was started
 * @log: a worker's execution log
 */
typedef struct
{
  MuxProc *proc;
  char name[MUX_NAME_LEN];
  char data_centre[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char direct[MUX_ADDR_LEN];
  TcpForwarder *link;
  TcpForwarder *peer_link;
  char peer_addr[MUX_ADDR_LEN];
  _Atomic uint32_t lives;
  char log[MUX_PATH_LEN];
} MuxMember;

/**
 * struct MuxCluster - the processes, freed by mux_cluster_free()
 */
typedef struct
{
  MuxClusterOptions options;
  MuxMember platform;
  uint32_t daemon_count;
  MuxMember daemon[MUX_CLUSTER_DAEMONS_MAX];
  uint32_t worker_count;
  MuxMember worker[MUX_CLUSTER_WORKERS_MAX];
  char seed_peer[MUX_ADDR_LEN]; /* peer address of the first daemon */
} MuxCluster;

/** mux_cluster_new() - start all; on the main thread, see mux_proc_guard()
 * Return: NULL with @err set, nothing left running. */
MuxCluster *mux_cluster_new (const MuxClusterOptions *options, MuxError *err);
/** mux_cluster_await() - until every daemon is ready and lists all workers
 * Return: false with @err set after @timeout_ms. */
bool
mux_cluster_await (MuxCluster *cluster, uint32_t timeout_ms, MuxError *err);
/** mux_cluster_await_path() - until every daemon answers GET @path with 200 */
bool mux_cluster_await_path (MuxCluster *cluster,
                             const char *path,
                             uint32_t timeout_ms,
                             MuxError *err);
/** struct MuxClusterObject - one object of the operators' configuration */
typedef struct
{
  const char *path;
  const char *json;
} MuxClusterObject;

/** mux_cluster_configure() - put each, until every daemon shows it */
bool mux_cluster_configure (MuxCluster *cluster,
                            const MuxClusterObject *objects,
                            uint32_t count,
                            uint32_t timeout_ms,
                            MuxError *err);
/** mux_cluster_kill() - kill -9, and reap */
void mux_cluster_kill (MuxMember *member);
/** mux_cluster_start_daemon(), mux_cluster_start_worker() - a new life under
 * the same name and addresses; on the main thread */
bool
mux_cluster_start_daemon (MuxCluster *cluster, uint32_t index, MuxError *err);
bool
mux_cluster_start_worker (MuxCluster *cluster, uint32_t index, MuxError *err);
/** mux_cluster_register() - tell the platform of a linked worker
 * @state: "live", "leaving" or "gone" */
bool mux_cluster_register (MuxCluster *cluster,
                           const MuxMember *worker,
                           const char *state,
                           MuxError *err);
/** mux_cluster_free() - kill what still runs */
void mux_cluster_free (MuxCluster *cluster);

#endif
