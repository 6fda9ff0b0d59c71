#include "support/process_usage.h"

#include "support/test.h"

#include <dirent.h>
#include <stdbool.h>

#define PATH_LEN 64
#define BYTES_PER_KIB 1024

static uint64_t
status_field (const char *line, const char *name)
{
  size_t len = strlen (name);

  return strncmp (line, name, len) == 0 ? strtoull (line + len, NULL, 10) : 0;
}

static void
read_memory (int pid, ProcessUsage *usage)
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
listens_on (unsigned int port, const char *const *addrs, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (strtoul (strrchr (addrs[i], ':') + 1, NULL, 10) == port)
      return true;
  return false;
}

/* Connected sockets alone: of a listening one, the queue is its length. */
static void
read_sockets (int pid,
              const char *const *addrs,
              uint32_t count,
              ProcessUsage *usage)
{
  char path[PATH_LEN];
  char line[256];
  uint64_t bytes = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/net/tcp", pid);
  file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      unsigned int port;
      unsigned int state;
      unsigned int unread;

      if (sscanf (line, " %*d: %*8x:%x %*8x:%*x %x %*x:%x", &port, &state,
                  &unread)
              == 3
          && state != 0x0a && listens_on (port, addrs, count))
        bytes += unread;
    }
  if (file != NULL)
    fclose (file);
  usage->unread_kib = bytes / BYTES_PER_KIB;
}

static void
count_descriptors (int pid, ProcessUsage *usage)
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

ProcessUsage
process_usage_read (int pid, const char *const *addrs, uint32_t addr_count)
{
  ProcessUsage usage = { 0 };

  read_memory (pid, &usage);
  read_sockets (pid, addrs, addr_count, &usage);
  count_descriptors (pid, &usage);
  return usage;
}
