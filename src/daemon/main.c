#include "base/log.h"
#include "cell_run.h"
#include "run.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2
#define MMAP_THRESHOLD_BYTES (128 * 1024)

static bool
wants_help (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      bool text = strcmp (argv[i], "--help") == 0;
      bool markdown = strcmp (argv[i], "--help-markdown") == 0;

      if (!text && !markdown)
        continue;
      if (text)
        printf ("cuminmuxd [settings]\n");
      mux_daemon_options_help (markdown);
      return true;
    }
  return false;
}

/* Large blocks go back to the system when they are freed.  Otherwise the
 * allocator raises the size from which they do with each of them, and every
 * arena keeps some. */
static void
bound_kept_memory (void)
{
  (void) mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
}

int
main (int argc, char **argv)
{
  static MuxFindings findings;
  MuxDaemonOptions options;
  int code;

  if (wants_help (argc, argv))
    return 0;
  if (!mux_daemon_options_read (argc, argv, &options, &findings))
    {
      for (uint32_t i = 0; i < findings.count; i++)
        fprintf (stderr, "cuminmuxd: %s: %s\n", findings.item[i].place,
                 findings.item[i].text);
      if (findings.dropped > 0)
        fprintf (stderr, "cuminmuxd: and %" PRIu32 " more\n", findings.dropped);
      return EXIT_USAGE;
    }
  bound_kept_memory ();
  mux_log_open ("cuminmuxd", options.log_level);
  code = *options.store != 0 ? mux_cell_run (&options)
                             : mux_daemon_run (&options);
  mux_daemon_options_free (&options);
  return code;
}
