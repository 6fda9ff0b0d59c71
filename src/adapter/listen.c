#include "adapter/listen.h"

#include "base/address.h"
#include "base/id.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

/* The kernel doubles the value, for its own overhead. */
static bool
set_receive_buffer (int fd, uint32_t bytes)
{
  int value = (int) (bytes / 2);

  return bytes == 0
         || setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof value) == 0;
}

int
mux_listen_open (const char *listen_on,
                 uint32_t receive_buffer_bytes,
                 char *bound,
                 MuxError *err)
{
  struct sockaddr_storage addr;
  socklen_t len;
  int one = 1;
  int fd;

  if (!mux_address_parse (listen_on, &addr, &len))
    {
      mux_error_set (err, MUX_ERROR_USAGE, "%s is not a valid ip:port",
                     listen_on);
      return -1;
    }
  fd = socket (addr.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd >= 0
      && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) == 0
      && set_receive_buffer (fd, receive_buffer_bytes)
      && bind (fd, (struct sockaddr *) &addr, len) == 0
      && listen (fd, LISTEN_BACKLOG) == 0
      && getsockname (fd, (struct sockaddr *) &addr, &len) == 0
      && mux_address_format (&addr, bound, MUX_ADDR_LEN))
    return fd;
  mux_error_set (err, MUX_ERROR_IO, "can't listen on %s: %s", listen_on,
                 strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}
