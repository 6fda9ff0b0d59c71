#include "base/address.h"
#include "support/cli_session.h"
#include "support/fake_backend.h"
#include "support/test.h"

#include <arpa/inet.h>
#include <gnutls/x509.h>
#include <time.h>
#include <unistd.h>

#define PEM_MAX 4096
#define PATH_FORM "/tmp/cuminmux-ca-XXXXXX"
#define DAY_S 86400

/* A self-signed certificate, and the file that a client is given of it. */
typedef struct
{
  char cert[PEM_MAX];
  char key[PEM_MAX];
  char path[sizeof PATH_FORM];
} Identity;

typedef struct
{
  CliSession *session;
  FakeBackend fake;
  Identity right;
  Identity wrong;
} Bench;

static void
fill_cert (gnutls_x509_crt_t cert, gnutls_x509_privkey_t key, const char *ip)
{
  time_t now = time (NULL);
  struct in_addr addr;

  assert_int_equal (inet_pton (AF_INET, ip, &addr), 1);
  gnutls_x509_crt_set_version (cert, 3);
  gnutls_x509_crt_set_serial (cert, "\1", 1);
  gnutls_x509_crt_set_activation_time (cert, now - DAY_S);
  gnutls_x509_crt_set_expiration_time (cert, now + DAY_S);
  gnutls_x509_crt_set_dn (cert, "CN=cuminmux", NULL);
  gnutls_x509_crt_set_subject_alt_name (cert, GNUTLS_SAN_IPADDRESS, &addr,
                                        sizeof addr, GNUTLS_FSAN_SET);
  gnutls_x509_crt_set_key (cert, key);
  assert_int_equal (
      gnutls_x509_crt_sign2 (cert, cert, key, GNUTLS_DIG_SHA256, 0), 0);
}

static void
identity_make (Identity *identity, const char *ip)
{
  gnutls_x509_privkey_t key;
  gnutls_x509_crt_t cert;
  size_t key_len = PEM_MAX;
  size_t cert_len = PEM_MAX;
  int fd;

  gnutls_x509_privkey_init (&key);
  gnutls_x509_crt_init (&cert);
  assert_int_equal (gnutls_x509_privkey_generate (
                        key, GNUTLS_PK_ECDSA,
                        GNUTLS_CURVE_TO_BITS (GNUTLS_ECC_CURVE_SECP256R1), 0),
                    0);
  fill_cert (cert, key, ip);
  assert_int_equal (gnutls_x509_privkey_export (key, GNUTLS_X509_FMT_PEM,
                                                identity->key, &key_len),
                    0);
  assert_int_equal (gnutls_x509_crt_export (cert, GNUTLS_X509_FMT_PEM,
                                            identity->cert, &cert_len),
                    0);
  gnutls_x509_crt_deinit (cert);
  gnutls_x509_privkey_deinit (key);
  strcpy (identity->path, PATH_FORM);
  fd = mkstemp (identity->path);
  assert_int_equal (write (fd, identity->cert, cert_len), cert_len);
  close (fd);
}

/* An HTTP server whose certificate is for @ip. */
static int
setup_for (void **state, const char *ip)
{
  Bench *bench = calloc (1, sizeof *bench);
  void *session;

  if (bench == NULL || cli_session_set_up (&session) != 0)
    return -1;
  bench->session = session;
  identity_make (&bench->right, ip);
  identity_make (&bench->wrong, ip);
  fake_backend_open (&bench->fake,
                     (MuxHttpServerOptions){ .callers_max = 1,
                                             .idle_timeout_s = 60,
                                             .body_max_bytes = 4096,
                                             .memory_bytes = 64 << 20,
                                             .receive_timeout_s = 120,
                                             .tls_cert = bench->right.cert,
                                             .tls_key = bench->right.key });
  *state = bench;
  return 0;
}

static int
setup (void **state)
{
  return setup_for (state, "127.0.0.1");
}

static int
setup_other_address (void **state)
{
  return setup_for (state, "127.0.0.2");
}

static int
teardown (void **state)
{
  Bench *bench = *state;
  void *session = bench->session;

  fake_backend_close (&bench->fake);
  unlink (bench->right.path);
  unlink (bench->wrong.path);
  free (bench);
  return cli_session_tear_down (&session);
}

/* Runs a request at @addr that trusts @ca_file; its exit code. */
static int
request (Bench *bench, const char *addr, const char *ca_file)
{
  char line[256];

  snprintf (line, sizeof line,
            "request basket --key k --body seats --server https://%s "
            "--ca-file %s",
            addr, ca_file);
  return cli_session_run (bench->session, line);
}

static void
expect_said (Bench *bench, const char *text)
{
  fflush (bench->session->log);
  if (strstr (bench->session->text, text) == NULL)
    fail_msg ("no \"%s\" in: %s", text, bench->session->text);
}

static void
expect_refusal (Bench *bench, const char *ca_file)
{
  char line[256];

  assert_int_equal (request (bench, bench->fake.addr, ca_file),
                    MUX_EXIT_UNREACHED);
  expect_said (bench, "its certificate is not trusted, or is for another "
                      "address");
  snprintf (line, sizeof line, "status --all --server https://%s --ca-file %s",
            bench->fake.addr, ca_file);
  cli_session_expect (bench->session, line, MUX_EXIT_UNREACHED);
  snprintf (line, sizeof line, "! cuminmux: no answer from %s: its certificate",
            bench->fake.addr);
  expect_said (bench, line);
  assert_int_equal (bench->fake.request_count, 0);
}

static void
test_request_over_tls (void **state)
{
  Bench *bench = *state;

  bench->fake.response.outcome = MUX_OUTCOME_DONE;
  bench->fake.response.body = mux_blob_new ("basket 7", 8);
  assert_int_equal (request (bench, bench->fake.addr, bench->right.path),
                    MUX_EXIT_OK);
  expect_said (bench, "\nbasket 7\n");
  assert_int_equal (bench->fake.request_count, 1);
  assert_string_equal (bench->fake.requests[0].key, "k");
  assert_int_equal (bench->fake.requests[0].body->len, 5);
  mux_blob_unref (bench->fake.response.body);
}

/* An attacker on the path responds in the daemon's place, with its own
 * certificate.  It must not get the request's key, and the caller is told that
 * nothing was sent, and why. */
static void
test_other_certificate_is_refused (void **state)
{
  Bench *bench = *state;

  expect_refusal (bench, bench->wrong.path);
}

/* The certificate is one that the client trusts, but of another instance. */
static void
test_other_address_is_refused (void **state)
{
  Bench *bench = *state;

  expect_refusal (bench, bench->right.path);
}

static void
test_plain_daemon_and_bad_files (void **state)
{
  Bench *bench = *state;
  char plain[MUX_ADDR_LEN];

  snprintf (plain, sizeof plain, "127.0.0.1:%u", bench->session->door.port);
  assert_int_equal (request (bench, plain, bench->right.path),
                    MUX_EXIT_UNREACHED);
  expect_said (bench, "TLS could not be set up; does it speak plain HTTP?");
  assert_int_equal (request (bench, bench->fake.addr, "/tmp"),
                    MUX_EXIT_UNREACHED);
  expect_said (bench, "the certificates of --ca-file can't be used");
  assert_int_equal (request (bench, bench->fake.addr, "/nowhere/ca.pem"),
                    MUX_EXIT_USAGE);
  expect_said (bench, "--ca-file: can't read \"/nowhere/ca.pem\": No such");
  assert_int_equal (bench->fake.request_count, 0);
}

/* A daemon without keys warns, unless its peer port is bound to loopback. */
static void
test_loopback_addresses (void **state)
{
  (void) state;
  assert_true (mux_address_is_loopback ("127.0.0.1:1"));
  assert_true (mux_address_is_loopback ("127.9.0.1:1"));
  assert_true (mux_address_is_loopback ("[::1]:1"));
  assert_false (mux_address_is_loopback ("0.0.0.0:1"));
  assert_false (mux_address_is_loopback ("[::]:1"));
  assert_false (mux_address_is_loopback ("10.0.0.127:1"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_request_over_tls, setup, teardown),
    cmocka_unit_test_setup_teardown (test_other_certificate_is_refused, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_other_address_is_refused,
                                     setup_other_address, teardown),
    cmocka_unit_test_setup_teardown (test_plain_daemon_and_bad_files, setup,
                                     teardown),
    cmocka_unit_test (test_loopback_addresses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
