/*
 * Stand-in for clients: submits jobs and asks for their states.
 *
 *   client call METHOD ADDR PATH [BODY]
 *     one request; prints the status and the body
 *   client jobs RECORD COUNT GAP_MS ASK_FROM_MS UNTIL_MS BODY ADDR...
 *     submits COUNT jobs with BODY, one each GAP_MS, to the addresses in turn,
 *     again with the same id until it is answered 2xx (each 500 ms); from
 *     ASK_FROM_MS on asks for each job's state until it has ended, and gives
 *     up at UNTIL_MS.  Writes a line to RECORD for each answer.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HOST "desk.example"
#define PREFIX "/q/"
#define DEADLINE_MS 3000
#define AGAIN_MS 500
#define ANSWER_MAX 65536
#define JOBS_MAX 5000

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
pause_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static int
dial (const char *addr)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval timeout = { DEADLINE_MS / 1000 + 1, 0 };
  char host[64];
  const char *colon = strchr (addr, ':');
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  snprintf (host, sizeof host, "%.*s", (int) (colon - addr), addr);
  to.sin_port = htons ((uint16_t) atoi (colon + 1));
  inet_pton (AF_INET, host, &to.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      len -= (size_t) n;
    }
  return true;
}

/* Return: the status; 0: no answer */
static int
request (const char *method,
         const char *addr,
         const char *path,
         const char *body,
         char answer[ANSWER_MAX])
{
  char head[1024];
  size_t len = 0;
  int fd = dial (addr);
  int status = 0;
  bool sent;

  answer[0] = 0;
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: " HOST "\r\nDeadline-Ms: %d\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n"
            "Connection: close\r\n\r\n",
            method, path, DEADLINE_MS, strlen (body));
  sent = send_all (fd, head, strlen (head)) && send_all (fd, body, strlen (body));
  while (sent && len + 1 < ANSWER_MAX)
    {
      ssize_t n = recv (fd, answer + len, ANSWER_MAX - 1 - len, 0);

      if (n <= 0)
        break;
      len += (size_t) n;
    }
  answer[len] = 0;
  close (fd);
  if (sscanf (answer, "HTTP/1.%*d %d", &status) != 1)
    return 0;
  return status;
}

static const char *
body_of (const char *answer)
{
  const char *at = strstr (answer, "\r\n\r\n");

  return at != NULL ? at + 4 : "";
}

typedef struct
{
  char id[20];
  bool accepted;
  bool ended;
  long next_ms;
} Job;

static Job jobs[JOBS_MAX];

static bool
has_ended (const char *body)
{
  return strstr (body, "\"completed\"") != NULL
         || strstr (body, "\"failed\"") != NULL
         || strstr (body, "\"cancelled\"") != NULL;
}

static int
run_jobs (int argc, char **argv)
{
  static char answer[ANSWER_MAX];
  FILE *record = fopen (argv[2], "a");
  long count = atol (argv[3]);
  long gap_ms = atol (argv[4]);
  long ask_from_ms = atol (argv[5]);
  long until_ms = atol (argv[6]);
  long began_ms = now_ms ();
  long left = count;
  uint32_t daemons = (uint32_t) argc - 8;
  uint32_t turn = 0;

  if (record == NULL || count > JOBS_MAX)
    return 2;
  setvbuf (record, NULL, _IOLBF, 0);
  for (long i = 0; i < count; i++)
    {
      snprintf (jobs[i].id, sizeof jobs[i].id, "%08lx%08lx",
                (unsigned long) (getpid () & 0xffffff), (unsigned long) i);
      jobs[i].next_ms = i * gap_ms;
    }
  while (left > 0 && now_ms () - began_ms < until_ms)
    {
      for (long i = 0; i < count; i++)
        {
          Job *job = &jobs[i];
          long at = now_ms () - began_ms;
          const char *addr = argv[8 + turn % daemons];
          char path[64];
          int status;

          if (job->ended || at < job->next_ms)
            continue;
          turn++;
          snprintf (path, sizeof path, PREFIX "%.16s", job->id);
          status = request (job->accepted ? "GET" : "POST", addr, path,
                            job->accepted ? "" : argv[7], answer);
          if (!job->accepted)
            fprintf (record, "%ld submit %s %d\n", at, job->id, status);
          else if (status == 200 && has_ended (body_of (answer)))
            {
              fprintf (record, "%ld state %s %d %s\n", at, job->id, status,
                       body_of (answer));
              job->ended = true;
              left--;
            }
          else if (status == 410)
            fprintf (record, "%ld state %s 410\n", at, job->id);
          job->accepted = job->accepted || status / 100 == 2;
          job->next_ms = now_ms () - began_ms + AGAIN_MS;
          if (job->accepted && job->next_ms < ask_from_ms)
            job->next_ms = ask_from_ms;
        }
      pause_ms (5);
    }
  for (long i = 0; i < count; i++)
    if (!jobs[i].ended)
      fprintf (record, "%ld open %s %s\n", now_ms () - began_ms, jobs[i].id,
               jobs[i].accepted ? "accepted" : "never accepted");
  fclose (record);
  return 0;
}

int
main (int argc, char **argv)
{
  static char answer[ANSWER_MAX];
  int status;

  if (argc >= 9 && strcmp (argv[1], "jobs") == 0)
    return run_jobs (argc, argv);
  if (argc < 5 || strcmp (argv[1], "call") != 0)
    return 2;
  status = request (argv[2], argv[3], argv[4], argc > 5 ? argv[5] : "", answer);
  printf ("%d %s\n", status, body_of (answer));
  return 0;
}
