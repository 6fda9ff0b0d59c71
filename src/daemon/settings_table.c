#include "settings_table.h"

#include "core/core.h"
#include "platform/platform.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Characters of a CURVE key as Z85. */
#define CURVE_KEY_LEN 40
#define KIB 1024
#define MILLI 1000
#define CPU_SHARE_MAX 1024
/* 16 TiB and 1 Tbit/s: well above any instance, and in range of their fields
 * when they are counted in thousandths. */
#define MEMORY_MAX_MB 16777216
#define LINK_MAX_MBPS 1000000
#define MIB (UINT64_C (1) << 20)
/* Assumed for an instance whose memory is unknown. */
#define REQUEST_MEMORY_UNKNOWN_MIB 256
/* Bodies have a quarter of the memory for requests, and each is held twice. */
#define REQUEST_MEMORY_PER_BODY 8

enum
{
  NAME,
  DATA_CENTRE,
  LISTEN,
  PEER_LISTEN,
  PEER_ADVERTISE,
  PLATFORM,
  SEEDS,
  LEASE_MS,
  HEARTBEAT_MS,
  SUSPECT_MS,
  DEAD_MS,
  QUEUE_MAX,
  WRITES_PER_S,
  KEY_KEEP_S,
  CALLERS_MAX,
  CALLER_IDLE_S,
  WORKER_THREADS,
  WORKER_CONTROL_THREADS,
  PLATFORM_THREADS,
  LIST_EVERY_MS,
  BODY_MAX_KIB,
  STOP_AFTER_MS,
  CURVE_SECRET_KEY,
  CURVE_PUBLIC_KEY,
  TLS_CERT_FILE,
  TLS_KEY_FILE,
  STORE,
  APPROVALS,
  REVOKE_TIMEOUT_MS,
  QUOTA_OVERRUN,
  CPU_SHARE,
  MEMORY_MB,
  LINK_MBPS,
  REQUEST_MEMORY_MB,
  RECEIVE_TIMEOUT_S,
  READY_LISTEN,
  METRICS_LISTEN,
  NODE_FILE,
  LOG_LEVEL,
  SETTING_COUNT
};

/* clang-format off */
static const MuxSettingSpec specs[SETTING_COUNT] = {
  [NAME] = { "name", "CUMINMUX_NAME", MUX_SETTING_NAME, "", 0, 0, NULL,
    "this instance's name, unique in the cell" },
  [DATA_CENTRE] = { "data-centre", "CUMINMUX_DATA_CENTRE", MUX_SETTING_NAME,
    "", 0, 0, NULL, "data centre that this instance stands in" },
  [LISTEN] = { "listen", "CUMINMUX_LISTEN", MUX_SETTING_ADDRESS, "", 0, 0,
    NULL, "address for callers' HTTP; port 0 lets the kernel pick" },
  [PEER_LISTEN] = { "peer-listen", "CUMINMUX_PEER_LISTEN",
    MUX_SETTING_ADDRESS, "", 0, 0, NULL,
    "address for other daemons, as they reach it; port 0 lets the kernel pick" },
  [PEER_ADVERTISE] = { "peer-advertise", "CUMINMUX_PEER_ADVERTISE",
    MUX_SETTING_ADDRESS, "", 0, 0, "",
    "address that peers are told, if they reach --peer-listen by another" },
  [PLATFORM] = { "platform", "CUMINMUX_PLATFORM", MUX_SETTING_URL, "", 0, 0,
    "", "platform's services; none: nothing can be recorded or listed" },
  [SEEDS] = { "seeds", "CUMINMUX_SEEDS", MUX_SETTING_ADDRESSES, "", 0, 0, "",
    "peer addresses of daemons to greet first" },
  [LEASE_MS] = { "lease-ms", "CUMINMUX_LEASE_MS", MUX_SETTING_INTEGER, "ms",
    1000, 60000, "6000", "lease asked of workers" },
  [HEARTBEAT_MS] = { "heartbeat-ms", "CUMINMUX_HEARTBEAT_MS",
    MUX_SETTING_INTEGER, "ms", 20, 10000, "300",
    "time between heartbeats to peers" },
  [SUSPECT_MS] = { "suspect-ms", "CUMINMUX_SUSPECT_MS", MUX_SETTING_INTEGER,
    "ms", 40, 30000, "900", "silence after which a peer gets no new asks" },
  [DEAD_MS] = { "dead-ms", "CUMINMUX_DEAD_MS", MUX_SETTING_INTEGER, "ms", 60,
    60000, "1500", "silence after which a peer's workers are claimed" },
  [QUEUE_MAX] = { "queue-max", "CUMINMUX_QUEUE_MAX", MUX_SETTING_INTEGER, "",
    1, 1000000, "4096", "most requests and tasks waiting here" },
  [WRITES_PER_S] = { "writes-per-s", "CUMINMUX_WRITES_PER_S",
    MUX_SETTING_INTEGER, "per s", 10, 100000, "350",
    "writes that the table takes from all daemons together" },
  [KEY_KEEP_S] = { "key-keep-s", "CUMINMUX_KEY_KEEP_S", MUX_SETTING_INTEGER,
    "s", 600, 2592000, "86400",
    "how long idempotency keys and ended jobs are remembered" },
  [CALLERS_MAX] = { "callers-max", "CUMINMUX_CALLERS_MAX",
    MUX_SETTING_INTEGER, "", 1, 16384, "1024",
    "most callers waiting for an answer; one thread each" },
  [CALLER_IDLE_S] = { "caller-idle-s", "CUMINMUX_CALLER_IDLE_S",
    MUX_SETTING_INTEGER, "s", 1, 3600, "60",
    "a caller's connection silent for this long is closed" },
  [WORKER_THREADS] = { "worker-threads", "CUMINMUX_WORKER_THREADS",
    MUX_SETTING_INTEGER, "", 1, 4096, "96",
    "starts and fetches in flight at once" },
  [WORKER_CONTROL_THREADS] = { "worker-control-threads",
    "CUMINMUX_WORKER_CONTROL_THREADS", MUX_SETTING_INTEGER, "", 1, 256, "8",
    "other worker calls, such as renewals, in flight at once" },
  [PLATFORM_THREADS] = { "platform-threads", "CUMINMUX_PLATFORM_THREADS",
    MUX_SETTING_INTEGER, "", 1, 256, "4", "platform calls in flight at once" },
  [LIST_EVERY_MS] = { "list-every-ms", "CUMINMUX_LIST_EVERY_MS",
    MUX_SETTING_INTEGER, "ms", 50, 60000, "1000",
    "time between reads of the instance list" },
  [BODY_MAX_KIB] = { "body-max-kib", "CUMINMUX_BODY_MAX_KIB",
    MUX_SETTING_INTEGER, "KiB", 1, MUX_BODY_MAX / KIB, "4096",
    "largest body of a caller" },
  [STOP_AFTER_MS] = { "stop-after-ms", "CUMINMUX_STOP_AFTER_MS",
    MUX_SETTING_INTEGER, "ms", 0, 3600000, "30000",
    "bound of the graceful stop" },
  [CURVE_SECRET_KEY] = { NULL, "CUMINMUX_CURVE_SECRET_KEY", MUX_SETTING_TEXT,
    "", 0, 0, "", "secret key between daemons, Z85; none: no encryption" },
  [CURVE_PUBLIC_KEY] = { NULL, "CUMINMUX_CURVE_PUBLIC_KEY", MUX_SETTING_TEXT,
    "", 0, 0, "", "the matching public key, Z85" },
  [TLS_CERT_FILE] = { "tls-cert-file", "CUMINMUX_TLS_CERT_FILE",
    MUX_SETTING_TEXT, "", 0, 0, "",
    "PEM certificate for callers; none: plain HTTP" },
  [TLS_KEY_FILE] = { "tls-key-file", "CUMINMUX_TLS_KEY_FILE",
    MUX_SETTING_TEXT, "", 0, 0, "", "PEM key for callers" },
  [STORE] = { "store", "CUMINMUX_STORE", MUX_SETTING_ADDRESS, "", 0, 0, "",
    "transactional store; given: stepped jobs are served in its platform's "
    "formats" },
  [APPROVALS] = { "approvals", "CUMINMUX_APPROVALS", MUX_SETTING_ADDRESS, "",
    0, 0, "", "policy service that approves workers; none: not asked" },
  [REVOKE_TIMEOUT_MS] = { "revoke-timeout-ms", "CUMINMUX_REVOKE_TIMEOUT_MS",
    MUX_SETTING_INTEGER, "ms", 100, 3600000, "",
    "after its removal no key is taken for longer, also by a daemon that is "
    "cut off; none: a daemon that is cut off goes on with what it knows" },
  [QUOTA_OVERRUN] = { "quota-overrun", "CUMINMUX_QUOTA_OVERRUN",
    MUX_SETTING_TEXT, "", 0, 0, "",
    "part of a workspace's quota, such as 0.1, that a gang too large for the "
    "quota may hold beyond it; none: nothing" },
  [CPU_SHARE] = { "cpu-share", "CUMINMUX_CPU_SHARE", MUX_SETTING_TEXT, "", 0, 0,
    "1", "processors of this instance, such as 0.25; the most able plans" },
  [MEMORY_MB] = { "memory-mb", "CUMINMUX_MEMORY_MB", MUX_SETTING_TEXT, "", 0, 0,
    "", "memory of this instance in MiB; 0 or none: unknown, not considered" },
  [LINK_MBPS] = { "link-mbps", "CUMINMUX_LINK_MBPS", MUX_SETTING_TEXT, "", 0, 0,
    "", "rate of its link in Mbit/s, such as 200; 0 or none: unknown, not "
    "considered" },
  [REQUEST_MEMORY_MB] = { "request-memory-mb", "CUMINMUX_REQUEST_MEMORY_MB",
    MUX_SETTING_TEXT, "", 0, 0, "",
    "memory for callers' connections and requests in MiB; none: half of "
    "--memory-mb, or 256 if that is unknown" },
  [RECEIVE_TIMEOUT_S] = { "receive-timeout-s", "CUMINMUX_RECEIVE_TIMEOUT_S",
    MUX_SETTING_INTEGER, "s", 1, 3600, "120",
    "time for a caller to send a whole body" },
  [READY_LISTEN] = { "ready-listen", "CUMINMUX_READY_LISTEN",
    MUX_SETTING_ADDRESS, "", 0, 0, "",
    "address where the platform asks for readiness; goes with --store" },
  [METRICS_LISTEN] = { "metrics-listen", "CUMINMUX_METRICS_LISTEN",
    MUX_SETTING_ADDRESS, "", 0, 0, "",
    "address of the counters of stepped jobs; none: not served" },
  [NODE_FILE] = { NULL, "CUMINMUX_NODE_FILE", MUX_SETTING_TEXT, "", 0, 0, "",
    "file of the platform's own settings; accepted and not read" },
  [LOG_LEVEL] = { "log-level", "CUMINMUX_LOG_LEVEL", MUX_SETTING_INTEGER, "",
    MUX_LOG_ERR, MUX_LOG_INFO, "5",
    "highest syslog severity printed: 3 errors, 4 warnings, 5 notices, 6 all" },
};
/* clang-format on */

static uint32_t
integer (const MuxDaemonOptions *options, uint32_t index)
{
  return (uint32_t) mux_settings_integer (options->settings, index);
}

static const char *
text (const MuxDaemonOptions *options, uint32_t index)
{
  return mux_settings_text (options->settings, index);
}

static void
fill_texts (MuxDaemonOptions *options)
{
  options->name = text (options, NAME);
  options->data_centre = text (options, DATA_CENTRE);
  options->listen = text (options, LISTEN);
  options->peer_listen = text (options, PEER_LISTEN);
  options->peer_advertise = text (options, PEER_ADVERTISE);
  options->platform_url = text (options, PLATFORM);
  options->curve_secret_key = text (options, CURVE_SECRET_KEY);
  options->curve_public_key = text (options, CURVE_PUBLIC_KEY);
  options->tls_cert_file = text (options, TLS_CERT_FILE);
  options->tls_key_file = text (options, TLS_KEY_FILE);
  options->store = text (options, STORE);
  options->approvals = text (options, APPROVALS);
  options->ready_listen = text (options, READY_LISTEN);
  options->metrics_listen = text (options, METRICS_LISTEN);
  options->seeds
      = mux_settings_addresses (options->settings, SEEDS, &options->seed_count);
}

/* Parses a number from 0 to @max, such as "0.25", in units of 1 / @scale. */
static bool
parse_scaled (const char *text, double max, double scale, uint32_t *scaled)
{
  char *end = NULL;
  double value = strtod (text, &end);

  if (end == text || *end != 0 || !(value >= 0 && value <= max))
    return false;
  *scaled = (uint32_t) (value * scale);
  return true;
}

static bool
parse_milli (const char *text, double max, uint32_t *milli)
{
  return parse_scaled (text, max, MILLI, milli);
}

/* Return: 0 when @share is not a valid share. */
static uint32_t
cpu_share_milli (const char *share)
{
  uint32_t milli = 0;

  (void) parse_milli (share, CPU_SHARE_MAX, &milli);
  return milli;
}

/* Limits of the instance that may be unknown.  They may have decimals: they
 * come from templates of the platform. */
static void
fill_limits (MuxDaemonOptions *options, MuxFindings *findings)
{
  const char *memory = text (options, MEMORY_MB);
  const char *link = text (options, LINK_MBPS);

  if (*memory != 0
      && !parse_scaled (memory, MEMORY_MAX_MB, 1, &options->memory_mib))
    mux_findings_add (findings, "--memory-mb",
                      "must be a number from 0, for unknown, to %d",
                      MEMORY_MAX_MB);
  if (*link != 0
      && !parse_scaled (link, LINK_MAX_MBPS, MILLI, &options->link_kbps))
    mux_findings_add (findings, "--link-mbps",
                      "must be a number from 0, for unknown, to %d",
                      LINK_MAX_MBPS);
}

/* So that the largest body has room. */
static uint64_t
request_memory_min (const MuxDaemonOptions *options)
{
  uint64_t bodies
      = REQUEST_MEMORY_PER_BODY * (uint64_t) options->body_max_kib * KIB;

  return *options->store == 0 && bodies > MUX_PLATFORM_SERVER_MEMORY_MIN
             ? bodies
             : MUX_PLATFORM_SERVER_MEMORY_MIN;
}

static void
fill_request_memory (MuxDaemonOptions *options, MuxFindings *findings)
{
  const char *given = text (options, REQUEST_MEMORY_MB);
  uint64_t min = request_memory_min (options);
  uint32_t mib = options->memory_mib > 0 ? options->memory_mib / 2
                                         : REQUEST_MEMORY_UNKNOWN_MIB;

  if (*given == 0)
    {
      options->request_memory_bytes = mib * MIB > min ? mib * MIB : min;
      return;
    }
  if (!parse_scaled (given, MEMORY_MAX_MB, 1, &mib) || mib * MIB < min)
    mux_findings_add (findings, "--request-memory-mb",
                      "must be a number from %" PRIu64 " to %d",
                      (min + MIB - 1) / MIB, MEMORY_MAX_MB);
  options->request_memory_bytes = mib * MIB;
}

static void
fill_integers (MuxDaemonOptions *options)
{
  options->lease_ms = integer (options, LEASE_MS);
  options->heartbeat_ms = integer (options, HEARTBEAT_MS);
  options->suspect_ms = integer (options, SUSPECT_MS);
  options->dead_ms = integer (options, DEAD_MS);
  options->queue_max = integer (options, QUEUE_MAX);
  options->writes_per_s = integer (options, WRITES_PER_S);
  options->key_retention_s = integer (options, KEY_KEEP_S);
  options->callers_max = integer (options, CALLERS_MAX);
  options->caller_idle_timeout_s = integer (options, CALLER_IDLE_S);
  options->worker_threads = integer (options, WORKER_THREADS);
  options->worker_control_threads = integer (options, WORKER_CONTROL_THREADS);
  options->platform_threads = integer (options, PLATFORM_THREADS);
  options->list_interval_ms = integer (options, LIST_EVERY_MS);
  options->body_max_kib = integer (options, BODY_MAX_KIB);
  options->cpu_share_milli = cpu_share_milli (text (options, CPU_SHARE));
  options->revoke_timeout_ms = integer (options, REVOKE_TIMEOUT_MS);
  options->stop_timeout_ms = integer (options, STOP_AFTER_MS);
  options->receive_timeout_s = integer (options, RECEIVE_TIMEOUT_S);
  options->log_level = (MuxLogLevel) integer (options, LOG_LEVEL);
}

static void
check_curve_key (const char *key, uint32_t index, MuxFindings *findings)
{
  if (*key != 0 && strlen (key) != CURVE_KEY_LEN)
    mux_findings_add (findings, specs[index].env, "must be %d characters long",
                      CURVE_KEY_LEN);
}

/* Checks that involve more than one setting, or more than its type. */
static void
check_combinations (MuxDaemonOptions *options, MuxFindings *findings)
{
  if (options->suspect_ms <= options->heartbeat_ms)
    mux_findings_add (findings, "--suspect-ms",
                      "must be greater than --heartbeat-ms");
  if (options->dead_ms <= options->suspect_ms)
    mux_findings_add (findings, "--dead-ms",
                      "must be greater than --suspect-ms");
  check_curve_key (options->curve_secret_key, CURVE_SECRET_KEY, findings);
  check_curve_key (options->curve_public_key, CURVE_PUBLIC_KEY, findings);
  if ((*options->curve_secret_key == 0) != (*options->curve_public_key == 0))
    mux_findings_add (findings, specs[CURVE_SECRET_KEY].env,
                      "must be given together with CUMINMUX_CURVE_PUBLIC_KEY");
  if (options->cpu_share_milli == 0)
    mux_findings_add (findings, "--cpu-share",
                      "must be greater than 0 and at most %d", CPU_SHARE_MAX);
  if (*text (options, QUOTA_OVERRUN) != 0
      && !parse_milli (text (options, QUOTA_OVERRUN), 1,
                       &options->quota_overrun_milli))
    mux_findings_add (findings, "--quota-overrun",
                      "must be a number from 0 to 1");
  if ((*options->store == 0) != (*options->ready_listen == 0))
    mux_findings_add (findings, "--store",
                      "must be given together with --ready-listen");
  if ((*options->tls_cert_file == 0) != (*options->tls_key_file == 0))
    mux_findings_add (findings, "--tls-cert-file",
                      "must be given together with --tls-key-file");
}

bool
mux_daemon_options_read (int argc,
                         char **argv,
                         MuxDaemonOptions *options,
                         MuxFindings *findings)
{
  uint32_t before = findings->count;

  memset (options, 0, sizeof *options);
  options->settings
      = mux_settings_read (specs, SETTING_COUNT, argc, argv, findings);
  if (options->settings == NULL)
    return false;
  fill_texts (options);
  fill_integers (options);
  fill_limits (options, findings);
  fill_request_memory (options, findings);
  check_combinations (options, findings);
  if (findings->count == before)
    return true;
  mux_daemon_options_free (options);
  return false;
}

void
mux_daemon_options_free (MuxDaemonOptions *options)
{
  mux_settings_free (options->settings);
  memset (options, 0, sizeof *options);
}

void
mux_daemon_options_help (bool markdown)
{
  mux_settings_help (specs, SETTING_COUNT, markdown);
}
