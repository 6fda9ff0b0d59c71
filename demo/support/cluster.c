#include "demo/support/cluster.h"

#include "demo/support/callers.h"
#include "demo/support/http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANY_PORT "127.0.0.1:0"
#define LISTEN_MS 10000
#define LOOK_EVERY_MS 50
#define WORKERS_PER_RACK 8
#define ARGS_MAX 24

static bool
start_member (const MuxClusterOptions *options,
              MuxMember *member,
              const char *const *argv,
              MuxError *err)
{
  char err_path[MUX_PATH_LEN];
  MuxProcOptions proc = { argv, err_path, LISTEN_MS, NULL };

  snprintf (err_path, sizeof err_path, "%s/%s.err", options->scratch,
            member->name);
  member->proc = mux_proc_start (&proc, err);
  if (member->proc == NULL)
    return false;
  if (mux_proc_word (member->proc, 0, member->direct, sizeof member->direct))
    {
      member->lives++;
      if (member->link != NULL)
        tcp_forwarder_retarget (member->link, member->direct);
      else
        memcpy (member->addr, member->direct, sizeof member->addr);
      return true;
    }
  return mux_error_set (err, MUX_ERROR_PROTOCOL, "%s listens on \"%s\"",
                        argv[0], mux_proc_line (member->proc));
}

static bool
start_platform (MuxCluster *cluster, MuxError *err)
{
  char path[MUX_PATH_LEN];
  const char *argv[] = { path, "--listen", ANY_PORT, NULL };

  snprintf (path, sizeof path, "%s/standin-platform", cluster->options.bin);
  mux_name_copy (cluster->platform.name, "platform");
  return start_member (&cluster->options, &cluster->platform, argv, err);
}

static const char *
data_centre_of (const MuxClusterOptions *options, uint32_t index)
{
  return options->data_centres[index % options->data_centre_count];
}

static void
fill_rack (const MuxCluster *cluster, const MuxMember *worker, char out[16])
{
  uint32_t index = (uint32_t) (worker - cluster->worker);

  snprintf (out, 16, "rack-%u",
            index / cluster->options.data_centre_count / WORKERS_PER_RACK + 1);
}

bool
mux_cluster_register (MuxCluster *cluster,
                      const MuxMember *worker,
                      const char *state,
                      MuxError *err)
{
  MuxHttp *http = mux_http_new ();
  json_t *answer;
  json_t *json;
  char rack[16];

  if (http == NULL)
    return false;
  fill_rack (cluster, worker, rack);
  json = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "name", worker->name,
                    "data_centre", worker->data_centre, "rack", rack, "addr",
                    worker->addr, "state", state, "role", "worker");
  answer = mux_http_json (http, "POST", cluster->platform.direct,
                          "/ctl/instance", json, err);
  mux_http_free (http);
  json_decref (json);
  json_decref (answer);
  return answer != NULL;
}

bool
mux_cluster_start_worker (MuxCluster *cluster, uint32_t index, MuxError *err)
{
  const MuxClusterOptions *options = &cluster->options;
  MuxMember *worker = &cluster->worker[index];
  char path[MUX_PATH_LEN];
  char capacity[64];
  char platform[MUX_ADDR_LEN + 8];
  char rack[16];
  const char *argv[] = { path,
                         "--name",
                         worker->name,
                         "--listen",
                         ANY_PORT,
                         "--capacity",
                         capacity,
                         "--log",
                         worker->log,
                         "--platform",
                         platform,
                         "--data-centre",
                         worker->data_centre,
                         "--rack",
                         rack,
                         NULL };
  enum
  {
    PLATFORM_FLAG = 9
  };

  snprintf (path, sizeof path, "%s/standin-worker", options->bin);
  snprintf (worker->name, sizeof worker->name, "worker-%02u", index + 1);
  snprintf (worker->log, sizeof worker->log, "%s/worker-%02u.jsonl",
            options->scratch, index + 1);
  snprintf (capacity, sizeof capacity, "%u,%u,%u,%u",
            options->capacity.cpu_milli, options->capacity.mem_mib,
            options->capacity.accels, options->capacity.slots);
  snprintf (platform, sizeof platform, "http://%s", cluster->platform.addr);
  fill_rack (cluster, worker, rack);
  mux_name_copy (worker->data_centre, data_centre_of (options, index));
  if (index >= cluster->worker_count)
    cluster->worker_count = index + 1;
  if (!options->linked)
    return start_member (options, worker, argv, err);
  /* A worker that registers itself would give its own address. */
  argv[PLATFORM_FLAG] = NULL;
  if (worker->link == NULL)
    worker->link = tcp_forwarder_new (NULL, worker->addr);
  return start_member (options, worker, argv, err)
         && (worker->lives > 1
             || mux_cluster_register (cluster, worker, "live", err));
}

/* "listening ip:port peer ip:port": the first daemon is everyone's seed. */
static bool
keep_seed (MuxCluster *cluster, const MuxMember *daemon, MuxError *err)
{
  if (cluster->seed_peer[0] != 0)
    return true;
  if (daemon->peer_link != NULL)
    {
      memcpy (cluster->seed_peer, daemon->peer_addr, MUX_ADDR_LEN);
      return true;
    }
  if (mux_proc_word (daemon->proc, 2, cluster->seed_peer,
                     sizeof cluster->seed_peer))
    return true;
  return mux_error_set (err, MUX_ERROR_PROTOCOL, "no peer address in \"%s\"",
                        mux_proc_line (daemon->proc));
}

/* The first daemon, restarted, greets the second instead of itself. */
static const char *
seeds_of (const MuxCluster *cluster, uint32_t index)
{
  if (index == 0 && cluster->daemon[1].peer_addr[0] != 0)
    return cluster->daemon[1].peer_addr;
  return cluster->seed_peer;
}

static void
link_daemon (MuxMember *daemon)
{
  if (daemon->link != NULL)
    return;
  daemon->link = tcp_forwarder_new (NULL, daemon->addr);
  daemon->peer_link = tcp_forwarder_new (NULL, daemon->peer_addr);
}

/* Where the forwarder of its peer side leads from now on. */
static bool
retarget_peer (const MuxMember *daemon, MuxError *err)
{
  char peer[MUX_ADDR_LEN];

  if (daemon->peer_link == NULL)
    return true;
  if (!mux_proc_word (daemon->proc, 2, peer, sizeof peer))
    return mux_error_set (err, MUX_ERROR_PROTOCOL, "no peer address in \"%s\"",
                          mux_proc_line (daemon->proc));
  tcp_forwarder_retarget (daemon->peer_link, peer);
  return true;
}

bool
mux_cluster_start_daemon (MuxCluster *cluster, uint32_t index, MuxError *err)
{
  const MuxClusterOptions *options = &cluster->options;
  MuxMember *daemon = &cluster->daemon[index];
  char path[MUX_PATH_LEN];
  char platform[MUX_ADDR_LEN + 8];
  char lease[16];
  const char *argv[ARGS_MAX] = {
    path,       "--name", daemon->name,    "--data-centre", daemon->data_centre,
    "--listen", ANY_PORT, "--peer-listen", ANY_PORT,        "--platform",
    platform
  };
  uint32_t n = 11;

  if (options->linked)
    {
      link_daemon (daemon);
      argv[n++] = "--peer-advertise";
      argv[n++] = daemon->peer_addr;
    }
  if (options->lease_ms != 0)
    {
      snprintf (lease, sizeof lease, "%u", options->lease_ms);
      argv[n++] = "--lease-ms";
      argv[n++] = lease;
    }
  /* The first one has nobody to greet; workers and peers find it. */
  if (cluster->seed_peer[0] != 0)
    {
      argv[n++] = "--seeds";
      argv[n++] = seeds_of (cluster, index);
    }
  snprintf (path, sizeof path, "%s/cuminmuxd", options->bin);
  snprintf (daemon->name, sizeof daemon->name, "entry-%u", index + 1);
  snprintf (platform, sizeof platform, "http://%s", cluster->platform.addr);
  mux_name_copy (daemon->data_centre, data_centre_of (options, index));
  if (index >= cluster->daemon_count)
    cluster->daemon_count = index + 1;
  return start_member (options, daemon, argv, err)
         && retarget_peer (daemon, err) && keep_seed (cluster, daemon, err);
}

static bool
start_all (MuxCluster *cluster, MuxError *err)
{
  const MuxClusterOptions *options = &cluster->options;

  if (options->daemons > MUX_CLUSTER_DAEMONS_MAX
      || options->workers > MUX_CLUSTER_WORKERS_MAX)
    return mux_error_set (err, MUX_ERROR_LIMIT, "too many processes");
  if (!start_platform (cluster, err))
    return false;
  for (uint32_t i = 0; i < options->workers; i++)
    if (!mux_cluster_start_worker (cluster, i, err))
      return false;
  for (uint32_t i = 0; i < options->daemons; i++)
    if (!mux_cluster_start_daemon (cluster, i, err))
      return false;
  return true;
}

MuxCluster *
mux_cluster_new (const MuxClusterOptions *options, MuxError *err)
{
  MuxCluster *cluster = calloc (1, sizeof *cluster);

  if (cluster == NULL)
    return NULL;
  cluster->options = *options;
  if (start_all (cluster, err))
    return cluster;
  mux_cluster_free (cluster);
  return NULL;
}

static bool
answers (MuxHttp *http, const MuxMember *daemon, const char *path)
{
  MuxHttpAsk ask = {
    .method = "GET", .addr = daemon->addr, .path = path, .timeout_ms = LISTEN_MS
  };
  MuxHttpReply reply;

  if (!mux_http_call (http, &ask, &reply, NULL))
    return false;
  mux_http_reply_clear (&reply);
  return reply.status == 200;
}

static bool
lists_workers (MuxHttp *http, const MuxMember *daemon, uint32_t count)
{
  json_t *answer
      = mux_http_json (http, "GET", daemon->addr, "/v1/workers", NULL, NULL);
  size_t listed = json_array_size (json_object_get (answer, "workers"));

  json_decref (answer);
  return listed >= count;
}

static bool
await_daemon (MuxHttp *http,
              const MuxMember *daemon,
              uint32_t workers,
              int64_t until_ms,
              MuxError *err)
{
  while (!answers (http, daemon, "/readyz")
         || !lists_workers (http, daemon, workers))
    {
      if (mux_mono_ms () >= until_ms)
        return mux_error_set (err, MUX_ERROR_UNAVAILABLE,
                              "%s is not ready with %u workers", daemon->name,
                              workers);
      mux_pause_ms (LOOK_EVERY_MS);
    }
  return true;
}

bool
mux_cluster_await (MuxCluster *cluster, uint32_t timeout_ms, MuxError *err)
{
  int64_t until = mux_mono_ms () + timeout_ms;
  MuxHttp *http = mux_http_new ();
  bool ok = http != NULL;

  for (uint32_t i = 0; ok && i < cluster->daemon_count; i++)
    ok = await_daemon (http, &cluster->daemon[i], cluster->worker_count, until,
                       err);
  mux_http_free (http);
  return ok;
}

bool
mux_cluster_await_path (MuxCluster *cluster,
                        const char *path,
                        uint32_t timeout_ms,
                        MuxError *err)
{
  int64_t until = mux_mono_ms () + timeout_ms;
  MuxHttp *http = mux_http_new ();
  uint32_t i = 0;

  while (http != NULL && i < cluster->daemon_count && mux_mono_ms () < until)
    if (answers (http, &cluster->daemon[i], path))
      i++;
    else
      mux_pause_ms (LOOK_EVERY_MS);
  mux_http_free (http);
  return i == cluster->daemon_count
         || mux_error_set (err, MUX_ERROR_UNAVAILABLE, "%s: %s is not shown",
                           cluster->daemon[i].name, path);
}

bool
mux_cluster_configure (MuxCluster *cluster,
                       const MuxClusterObject *objects,
                       uint32_t count,
                       uint32_t timeout_ms,
                       MuxError *err)
{
  MuxHttp *http = mux_http_new ();
  bool ok = http != NULL;

  for (uint32_t i = 0; ok && i < count; i++)
    {
      json_t *json = json_loads (objects[i].json, 0, NULL);
      json_t *answer = mux_http_json (http, "PUT", cluster->daemon[0].addr,
                                      objects[i].path, json, err);

      ok = answer != NULL;
      json_decref (json);
      json_decref (answer);
    }
  mux_http_free (http);
  for (uint32_t i = 0; ok && i < count; i++)
    ok = mux_cluster_await_path (cluster, objects[i].path, timeout_ms, err);
  return ok;
}

void
mux_cluster_kill (MuxMember *member)
{
  mux_proc_free (member->proc);
  member->proc = NULL;
  /* Its ports are the kernel's again and may become anybody's. */
  if (member->link != NULL)
    tcp_forwarder_retarget (member->link, NULL);
  if (member->peer_link != NULL)
    tcp_forwarder_retarget (member->peer_link, NULL);
}

static void
member_free (MuxMember *member)
{
  mux_proc_free (member->proc);
  if (member->link != NULL)
    tcp_forwarder_free (member->link);
  if (member->peer_link != NULL)
    tcp_forwarder_free (member->peer_link);
}

void
mux_cluster_free (MuxCluster *cluster)
{
  if (cluster == NULL)
    return;
  for (uint32_t i = 0; i < cluster->daemon_count; i++)
    member_free (&cluster->daemon[i]);
  for (uint32_t i = 0; i < cluster->worker_count; i++)
    member_free (&cluster->worker[i]);
  mux_proc_free (cluster->platform.proc);
  free (cluster);
}
