#include "daemons.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

typedef struct
{
  char name[64];
  char zone[32];
  char listen[64];
  char ready[64];
  char metrics[64];
  char peer[64];
  pid_t pid;
} Daemon;

static Daemon list[DAEMONS_MAX];
static int count;
static const char *program;
static char store_at[64];
static char advisor_at[64];

static void
exec_daemon (const Daemon *daemon)
{
  char env[16][128];
  char *envp[17];
  char *argv[] = { (char *) program, NULL };
  char log[128];
  int n = 0;
  int fd;

  snprintf (log, sizeof log, "%s/%s.log",
            getenv ("SCRATCH") != NULL ? getenv ("SCRATCH") : "/tmp",
            daemon->name);
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, 1);
  dup2 (fd, 2);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  snprintf (env[n++], 128, "CUMINMUX_NAME=%s", daemon->name);
  snprintf (env[n++], 128, "CUMINMUX_DATA_CENTRE=%s", daemon->zone);
  snprintf (env[n++], 128, "CUMINMUX_LISTEN=%s", daemon->listen);
  snprintf (env[n++], 128, "CUMINMUX_READY_LISTEN=%s", daemon->ready);
  snprintf (env[n++], 128, "CUMINMUX_METRICS_LISTEN=%s", daemon->metrics);
  snprintf (env[n++], 128, "CUMINMUX_PEER_LISTEN=%s", daemon->peer);
  snprintf (env[n++], 128, "CUMINMUX_CPU_SHARE=0.25");
  snprintf (env[n++], 128, "CUMINMUX_MEMORY_MB=260");
  snprintf (env[n++], 128, "CUMINMUX_LINK_MBPS=1000.0");
  snprintf (env[n++], 128, "CUMINMUX_STORE=%s", store_at);
  if (advisor_at[0] != 0)
    snprintf (env[n++], 128, "CUMINMUX_APPROVALS=%s", advisor_at);
  snprintf (env[n++], 128, "CUMINMUX_LEASE_MS=6000");
  snprintf (env[n++], 128, "CUMINMUX_HEARTBEAT_MS=250");
  snprintf (env[n++], 128, "CUMINMUX_SUSPECT_MS=600");
  snprintf (env[n++], 128, "CUMINMUX_DEAD_MS=1000");
  snprintf (env[n++], 128, "LANG=C");
  for (int i = 0; i < n; i++)
    envp[i] = env[i];
  envp[n] = NULL;
  execve (program, argv, envp);
  _exit (127);
}

static void
start (Daemon *daemon)
{
  pid_t pid = fork ();

  if (pid == 0)
    exec_daemon (daemon);
  daemon->pid = pid;
}

void
daemons_start (const char *path, int n, const Store *store, const char *advisor)
{
  program = path;
  count = n;
  snprintf (store_at, sizeof store_at, "%s", store_addr (store));
  snprintf (advisor_at, sizeof advisor_at, "%s", advisor);
  for (int i = 0; i < n; i++)
    {
      Daemon *daemon = &list[i];

      snprintf (daemon->name, sizeof daemon->name, "frontend-hall-%c-1",
                'a' + i);
      snprintf (daemon->zone, sizeof daemon->zone, "hall-%c", 'a' + i % 3);
      snprintf (daemon->listen, sizeof daemon->listen, "127.0.0.1:%d",
                free_port ());
      snprintf (daemon->ready, sizeof daemon->ready, "127.0.0.1:%d",
                free_port ());
      snprintf (daemon->metrics, sizeof daemon->metrics, "127.0.0.1:%d",
                free_port ());
      snprintf (daemon->peer, sizeof daemon->peer, "127.0.0.1:%d",
                free_port ());
      start (daemon);
    }
}

bool
daemons_wait_ready (int64_t timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;

  for (int i = 0; i < count; i++)
    while (http_call (list[i].ready, "GET", "/-/readiness", "ready", NULL, 500,
                      NULL)
           != 200)
      {
        if (now_ms () > until)
          return false;
        pause_ms (50);
      }
  return true;
}

const char *
daemon_addr (int number)
{
  return list[number].listen;
}

const char *
daemon_name (int number)
{
  return list[number].name;
}

int
daemons_count (void)
{
  return count;
}

bool
daemon_ended (int number)
{
  Daemon *daemon = &list[number];

  if (daemon->pid > 0 && waitpid (daemon->pid, NULL, WNOHANG) == daemon->pid)
    daemon->pid = 0;
  return daemon->pid == 0;
}

void
daemons_stop (void)
{
  for (int i = 0; i < count; i++)
    if (list[i].pid > 0)
      {
        kill (list[i].pid, SIGKILL);
        waitpid (list[i].pid, NULL, 0);
        list[i].pid = 0;
      }
}
