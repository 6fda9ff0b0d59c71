#include "demo/support/fault_inject.h"

#include "demo/support/callers.h"
#include "demo/support/http.h"

#include <signal.h>
#include <string.h>

#define STORE_SLOW_MS 1500
#define STORE_LOST_PPM 500000
#define WORKER_SLOW_MS 800
#define WORKER_MUTE_STARTS 20
#define CONTROL_TRIES 3

/* A control call of a stand-in; takes @json over. */
static bool
control (const char *addr, json_t *json, MuxError *err)
{
  MuxHttp *http = mux_http_new ();
  json_t *answer = NULL;

  for (int i = 0; http != NULL && answer == NULL && i < CONTROL_TRIES; i++)
    answer = mux_http_json (http, "POST", addr, "/ctl", json, err);
  mux_http_free (http);
  json_decref (json);
  json_decref (answer);
  if (answer != NULL)
    err->code = MUX_ERROR_NONE;
  return answer != NULL;
}

static bool
platform (MuxFaultRun *run, json_t *json, MuxError *err)
{
  return control (run->cluster->platform.direct, json, err);
}

static void
log_worker (MuxFaultRun *run, const char *event, const MuxMember *worker)
{
  mux_jsonl_write (run->log, json_pack ("{s:s, s:s, s:I}", "event", event,
                                        "worker", worker->name, "t_ms",
                                        (json_int_t) mux_mono_ms ()));
}

static void
kill_worker (MuxFaultRun *run, MuxMember *worker)
{
  mux_cluster_kill (worker);
  /* Reaped: nothing of that life runs from here on. */
  log_worker (run, "died", worker);
}

static bool
leave (MuxFaultRun *run, const MuxMember *worker, MuxError *err)
{
  if (!control (worker->direct, json_pack ("{s:b}", "leaving", 1), err)
      || !mux_cluster_register (run->cluster, worker, "leaving", err))
    return false;
  log_worker (run, "leaving", worker);
  return true;
}

static bool
worker_fault (MuxFaultRun *run, const MuxFault *fault, bool on, MuxError *err)
{
  MuxMember *worker = &run->cluster->worker[fault->target];

  switch (fault->kind)
    {
    case MUX_FAULT_WORKER_KILL:
      if (!on)
        return mux_cluster_start_worker (run->cluster, fault->target, err);
      kill_worker (run, worker);
      return true;
    case MUX_FAULT_WORKER_HANG:
      return control (worker->direct, json_pack ("{s:b}", "hang", on), err);
    case MUX_FAULT_WORKER_DEAF:
      return control (worker->direct, json_pack ("{s:b}", "deaf", on), err);
    case MUX_FAULT_WORKER_FAIL:
      return control (worker->direct, json_pack ("{s:b}", "fail_all", on), err);
    case MUX_FAULT_WORKER_MUTE:
      return control (
          worker->direct,
          json_pack ("{s:i}", "lose_answers", on ? WORKER_MUTE_STARTS : 0),
          err);
    case MUX_FAULT_WORKER_SLOW:
      return control (worker->direct,
                      json_pack ("{s:i}", "slow_ms", on ? WORKER_SLOW_MS : 0),
                      err);
    case MUX_FAULT_WORKER_LEAVE:
      return !on || leave (run, worker, err);
    default:
      return false;
    }
}

static bool
store_fault (MuxFaultRun *run, const MuxFault *fault, bool on, MuxError *err)
{
  const char *name;

  switch (fault->kind)
    {
    case MUX_FAULT_PLATFORM_CUT:
      name = run->cluster->options.data_centres[fault->target];
      return platform (run,
                       on ? json_pack ("{s:[s]}", "refuse_from", name)
                          : json_pack ("{s:[]}", "refuse_from"),
                       err);
    case MUX_FAULT_PLATFORM_FORGET:
      return !on || platform (run, json_pack ("{s:b}", "silence_open", 1), err);
    case MUX_FAULT_STORE_DOWN:
      return platform (run, json_pack ("{s:b}", "down", on), err);
    case MUX_FAULT_STORE_SLOW:
      return platform (
          run, json_pack ("{s:i}", "slow_ms", on ? STORE_SLOW_MS : 0), err);
    case MUX_FAULT_STORE_HANG:
      return platform (run, json_pack ("{s:b}", "hang", on), err);
    case MUX_FAULT_STORE_LOSE:
      return platform (run,
                       json_pack ("{s:{s:i, s:i}}", "lose_write_answers",
                                  "lose_ppm", on ? STORE_LOST_PPM : 0, "seed",
                                  (int) fault->begin_ms),
                       err);
    case MUX_FAULT_LIST_DOWN:
      return platform (run, json_pack ("{s:b}", "list_down", on), err);
    default:
      return false;
    }
}

static void
link_fault (TcpForwarder *link, TcpForwarderMode mode, bool on)
{
  tcp_forwarder_mode (link, on ? mode : TCP_FORWARDER_PASS);
}

static bool
daemon_fault (MuxFaultRun *run, const MuxFault *fault, bool on, MuxError *err)
{
  MuxMember *daemon = &run->cluster->daemon[fault->target];

  if (fault->kind == MUX_FAULT_DAEMON_FREEZE)
    {
      mux_proc_signal (daemon->proc, on ? SIGSTOP : SIGCONT);
      return true;
    }
  if (!on)
    return mux_cluster_start_daemon (run->cluster, fault->target, err);
  mux_cluster_kill (daemon);
  return true;
}

static bool
apply (MuxFaultRun *run, const MuxFault *fault, bool on, MuxError *err)
{
  MuxCluster *cluster = run->cluster;

  switch (fault->kind)
    {
    case MUX_FAULT_DAEMON_KILL:
    case MUX_FAULT_DAEMON_FREEZE:
      return daemon_fault (run, fault, on, err);
    case MUX_FAULT_WORKER_LINK_SILENT:
      link_fault (cluster->worker[fault->target].link, TCP_FORWARDER_SILENT,
                  on);
      return true;
    case MUX_FAULT_WORKER_LINK_REFUSE:
      link_fault (cluster->worker[fault->target].link, TCP_FORWARDER_REFUSE,
                  on);
      return true;
    case MUX_FAULT_WORKER_LINK_FORGET:
      if (on)
        tcp_forwarder_freeze (cluster->worker[fault->target].link);
      return true;
    case MUX_FAULT_PEER_LINK_SILENT:
      link_fault (cluster->daemon[fault->target].peer_link,
                  TCP_FORWARDER_SILENT, on);
      return true;
    case MUX_FAULT_PEER_LINK_REFUSE:
      link_fault (cluster->daemon[fault->target].peer_link,
                  TCP_FORWARDER_REFUSE, on);
      return true;
    case MUX_FAULT_PEER_LINK_FORGET:
      if (on)
        tcp_forwarder_freeze (cluster->daemon[fault->target].peer_link);
      return true;
    case MUX_FAULT_CALLER_LINK_REFUSE:
      link_fault (cluster->daemon[fault->target].link, TCP_FORWARDER_REFUSE,
                  on);
      return true;
    case MUX_FAULT_PLATFORM_CUT:
    case MUX_FAULT_PLATFORM_FORGET:
    case MUX_FAULT_STORE_DOWN:
    case MUX_FAULT_STORE_SLOW:
    case MUX_FAULT_STORE_HANG:
    case MUX_FAULT_STORE_LOSE:
    case MUX_FAULT_LIST_DOWN:
      return store_fault (run, fault, on, err);
    default:
      return worker_fault (run, fault, on, err);
    }
}

/* What comes next: a fault's begin, or the end of one that was begun. */
static const MuxFault *
next_step (const MuxFaultRun *run, const bool ended[], uint32_t next, bool *on)
{
  const MuxFaultPlan *plan = run->plan;
  const MuxFault *step = next < plan->count ? &plan->fault[next] : NULL;
  uint32_t at_ms = step == NULL ? UINT32_MAX : step->begin_ms;

  *on = true;
  for (uint32_t i = 0; i < next; i++)
    if (!ended[i] && plan->fault[i].end_ms <= at_ms)
      {
        step = &plan->fault[i];
        at_ms = step->end_ms;
        *on = false;
      }
  return step;
}

bool
mux_fault_run (MuxFaultRun *run, MuxError *err)
{
  int64_t start_ms = mux_mono_ms ();
  bool ended[MUX_FAULTS_MAX] = { false };
  uint32_t next = 0;
  const MuxFault *fault;
  bool on;

  while ((fault = next_step (run, ended, next, &on)) != NULL)
    {
      int64_t at_ms = start_ms + (on ? fault->begin_ms : fault->end_ms);
      int64_t now_ms = mux_mono_ms ();

      if (at_ms > now_ms)
        mux_pause_ms ((uint32_t) (at_ms - now_ms));
      if (!apply (run, fault, on, err))
        return false;
      if (on)
        {
          next++;
          run->done[fault->kind]++;
        }
      else
        ended[fault - run->plan->fault] = true;
    }
  return true;
}
