#include "support/canned_server.h"
#include "support/platform_fixture.h"
#include "support/test.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define CLOSE "Connection: close\r\n"
#define CHUNKED CLOSE "Transfer-Encoding: chunked\r\n"
#define REVISION "Cuminmux-Revision: 7\r\n"

typedef struct
{
  const char *answer;
  MuxTableStatus status;
} Case;

static MuxTableStatus
status_of (PlatformFixture *fixture, const char *answer, MuxTableCall *call)
{
  char addr[MUX_ADDR_LEN];
  CannedServer *server = canned_server_new (answer, addr);
  MuxTableStatus status;

  fixture->port->free (fixture->port);
  snprintf (fixture->url, sizeof fixture->url, "http://%s", addr);
  platform_start_adapter (fixture, 1);
  status = platform_ask_status (fixture, call);
  canned_server_free (server);
  return status;
}

static MuxTableCall *
object_call (MuxTableVerb verb, const char *value)
{
  MuxTableCall *call = platform_call_new (verb, 1);

  platform_set_row (call, 0, "job", 0, value, 4);
  return call;
}

/* A settlement batch runs on half its input, or its submitter gets half the
 * answer: something between the daemon and the object store gave no length
 * and its connection broke, or it answered in the store's place.  Only a
 * response that marks its own end and names the object's revision is the
 * object. */
static void
test_cut_object_is_not_read (void **state)
{
  static const Case cases[] = {
    { OK CLOSE REVISION "Content-Length: 4\r\n\r\nhalf", MUX_TABLE_OK },
    { OK CHUNKED REVISION "\r\n4\r\nhalf\r\n0\r\n\r\n", MUX_TABLE_OK },
    { OK CLOSE REVISION "Content-Length: 9\r\n\r\nhalf", MUX_TABLE_DOWN },
    { OK CHUNKED REVISION "\r\n4\r\nhalf\r\n", MUX_TABLE_DOWN },
    { OK CLOSE REVISION "\r\nhalf", MUX_TABLE_DOWN },
    { OK CLOSE "Content-Length: 4\r\n\r\nhalf", MUX_TABLE_DOWN },
    { OK CLOSE "Cuminmux-Revision: -7\r\nContent-Length: 4\r\n\r\nhalf",
      MUX_TABLE_DOWN },
    { OK CLOSE "Cuminmux-Revision: 7x\r\nContent-Length: 4\r\n\r\nhalf",
      MUX_TABLE_DOWN },
    { OK CLOSE "Cuminmux-Revision: 18446744073709551616\r\n"
               "Content-Length: 4\r\n\r\nhalf",
      MUX_TABLE_DOWN },
  };
  PlatformFixture *fixture = *state;

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    if (status_of (fixture, cases[i].answer,
                   object_call (MUX_TABLE_OBJECT_GET, NULL))
        != cases[i].status)
      fail_msg ("case %zu: %s", i, cases[i].answer);
}

/* A job is accepted although its input was never stored: a login page or
 * another server at the store's address answers 200 to everything. */
static void
test_foreign_200_is_no_write (void **state)
{
  static const Case cases[] = {
    { OK CLOSE REVISION "Content-Length: 0\r\n\r\n", MUX_TABLE_OK },
    { OK CLOSE "Content-Length: 0\r\n\r\n", MUX_TABLE_UNKNOWN },
    { OK CLOSE REVISION "\r\n", MUX_TABLE_UNKNOWN },
  };
  PlatformFixture *fixture = *state;

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    assert_int_equal (status_of (fixture, cases[i].answer,
                                 object_call (MUX_TABLE_OBJECT_PUT, "text")),
                      cases[i].status);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    PLATFORM_TEST (test_cut_object_is_not_read),
    PLATFORM_TEST (test_foreign_200_is_no_write),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
