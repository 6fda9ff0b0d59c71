#include "demo/support/jsonl.h"

#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct MuxJsonl
{
  int fd;
  atomic_bool failed;
};

MuxJsonl *
mux_jsonl_open (const char *path, MuxError *err)
{
  MuxJsonl *log = calloc (1, sizeof *log);

  if (log == NULL)
    return NULL;
  log->fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log->fd >= 0)
    return log;
  mux_error_set (err, MUX_ERROR_IO, "%s: %s", path, strerror (errno));
  free (log);
  return NULL;
}

static bool
write_line (MuxJsonl *log, char *text)
{
  size_t len = strlen (text);

  text[len] = '\n';
  return write (log->fd, text, len + 1) == (ssize_t) len + 1;
}

void
mux_jsonl_write (MuxJsonl *log, json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);

  /* The closing NUL becomes the newline. */
  if (text == NULL || !write_line (log, text))
    atomic_store (&log->failed, true);
  free (text);
  json_decref (json);
}

bool
mux_jsonl_close (MuxJsonl *log)
{
  bool ok;

  if (log == NULL)
    return true;
  ok = !atomic_load (&log->failed);
  if (close (log->fd) < 0)
    ok = false;
  free (log);
  return ok;
}
