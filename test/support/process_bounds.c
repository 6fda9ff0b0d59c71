#include "support/process_bounds.h"

#include "support/test.h"

#include <dirent.h>
#include <stdbool.h>

#define PATH_LEN 64
#define KIB 1024
/* State of a listening socket in /proc/PID/net/tcp. */
#define TCP_LISTEN_STATE 0x0a

typedef struct
{
  uint64_t resident_kib;
  uint64_t peak_kib;
  uint64_t unread_kib;
  uint32_t descriptors;
} Usage;

static uint64_t
status_field (const char *line, const char *name)
{
  size_t len = strlen (name);

  return strncmp (line, name, len) == 0 ? strtoull (line + len, NULL, 10) : 0;
}

static void
read_memory (int pid, Usage *usage)
{
  char path[PATH_LEN];
  char line[256];
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", pid);
  file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      usage->resident_kib += status_field (line, "VmRSS:");
      usage->peak_kib += status_field (line, "VmHWM:");
    }
  if (file != NULL)
    fclose (file);
}

static bool
listens_on (const ProcessBounds *bounds, unsigned int port)
{
  for (uint32_t i = 0; i < PROCESS_ADDRS_MAX && bounds->addrs[i] != NULL; i++)
    if (strtoul (strrchr (bounds->addrs[i], ':') + 1, NULL, 10) == port)
      return true;
  return false;
}

/* Connected sockets alone: of a listening one, the queue is its length. */
static void
read_sockets (const ProcessBounds *bounds, Usage *usage)
{
  char path[PATH_LEN];
  char line[256];
  uint64_t bytes = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/net/tcp", bounds->pid);
  file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      unsigned int port;
      unsigned int state;
      unsigned int unread;

      if (sscanf (line, " %*d: %*8x:%x %*8x:%*x %x %*x:%x", &port, &state,
                  &unread)
              == 3
          && state != TCP_LISTEN_STATE && listens_on (bounds, port))
        bytes += unread;
    }
  if (file != NULL)
    fclose (file);
  usage->unread_kib = bytes / KIB;
}

static void
count_descriptors (int pid, Usage *usage)
{
  char path[PATH_LEN];
  const struct dirent *entry;
  DIR *dir;

  snprintf (path, sizeof path, "/proc/%d/fd", pid);
  dir = opendir (path);
  while (dir != NULL && (entry = readdir (dir)) != NULL)
    usage->descriptors += entry->d_name[0] != '.';
  if (dir != NULL)
    closedir (dir);
}

void
process_bounds_watch (void *arg)
{
  ProcessBounds *bounds = arg;
  Usage now = { 0 };

  read_memory (bounds->pid, &now);
  read_sockets (bounds, &now);
  count_descriptors (bounds->pid, &now);
  if (now.resident_kib + now.unread_kib
      > bounds->resident_kib + bounds->unread_kib)
    {
      bounds->resident_kib = now.resident_kib;
      bounds->unread_kib = now.unread_kib;
    }
  if (now.peak_kib > bounds->peak_kib)
    bounds->peak_kib = now.peak_kib;
  if (now.descriptors > bounds->descriptors)
    bounds->descriptors = now.descriptors;
}

void
process_bounds_check (ProcessBounds *bounds)
{
  process_bounds_watch (bounds);
  print_message ("peak %llu KiB, resident %llu KiB with unread %llu KiB, %u "
                 "descriptors\n",
                 (unsigned long long) bounds->peak_kib,
                 (unsigned long long) bounds->resident_kib,
                 (unsigned long long) bounds->unread_kib, bounds->descriptors);
#if !defined __SANITIZE_ADDRESS__ && !defined __SANITIZE_THREAD__
  assert_true (bounds->peak_kib < (uint64_t) bounds->memory_mib * KIB);
  assert_true (bounds->resident_kib + bounds->unread_kib
               < (uint64_t) bounds->memory_mib * KIB);
#endif
  assert_true (bounds->descriptors <= bounds->descriptors_max);
}
