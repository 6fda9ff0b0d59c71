#include "support/golden.h"
#include "support/test.h"

#include <stdbool.h>

#define GOLDEN_DIR "test/golden/"
#define CONTEXT 3
#define ID_DIGITS 32
#define IDS_MAX 256

/* Lines of a text, without their newlines. */
typedef struct
{
  uint32_t count;
  char **line;
} Lines;

static Lines
lines_of (char *text)
{
  Lines lines = { 0 };
  uint32_t cap = 1;

  for (const char *at = text; *at != 0; at++)
    cap += *at == '\n';
  lines.line = calloc (cap, sizeof *lines.line);
  assert_non_null (lines.line);
  while (*text != 0)
    {
      lines.line[lines.count++] = text;
      text += strcspn (text, "\n");
      if (*text == '\n')
        *text++ = 0;
    }
  return lines;
}

static void
print_lines (const char *mark, Lines lines, uint32_t from, uint32_t to)
{
  for (uint32_t i = from; i < to && i < lines.count; i++)
    fprintf (stderr, "%s%s\n", mark, lines.line[i]);
}

/* Prints what differs between the common first and last lines of the texts,
 * with CONTEXT lines around it. */
static void
print_diff (Lines a, Lines b)
{
  uint32_t head = 0, tail = 0;

  while (head < a.count && head < b.count
         && strcmp (a.line[head], b.line[head]) == 0)
    head++;
  while (head + tail < a.count && head + tail < b.count
         && strcmp (a.line[a.count - tail - 1], b.line[b.count - tail - 1])
                == 0)
    tail++;
  fprintf (stderr, "@@ line %u @@\n", head + 1);
  print_lines (" ", a, head > CONTEXT ? head - CONTEXT : 0, head);
  print_lines ("-", a, head, a.count - tail);
  print_lines ("+", b, head, b.count - tail);
  print_lines (" ", a, a.count - tail, a.count - tail + CONTEXT);
}

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "rb");
  char *text = NULL;
  size_t len = 0;

  if (file == NULL)
    fail_msg ("%s can't be read; `make golden` writes it", path);
  if (getdelim (&text, &len, 0, file) <= 0)
    fail_msg ("%s is empty", path);
  fclose (file);
  return text;
}

static void
write_file (const char *path, const char *text)
{
  FILE *file = fopen (path, "wb");

  assert_non_null (file);
  assert_true (fputs (text, file) >= 0);
  assert_int_equal (fclose (file), 0);
}

void
golden_assert (const char *name, const char *text)
{
  const char *write = getenv ("MUX_GOLDEN_WRITE");
  char path[128];
  char *golden, *copy;
  Lines want, have;

  snprintf (path, sizeof path, GOLDEN_DIR "%s.txt", name);
  if (write != NULL && strcmp (write, "1") == 0)
    {
      write_file (path, text);
      return;
    }
  golden = read_file (path);
  if (strcmp (golden, text) == 0)
    {
      free (golden);
      return;
    }
  copy = strdup (text);
  assert_non_null (copy);
  want = lines_of (golden);
  have = lines_of (copy);
  fprintf (stderr, "--- %s\n+++ this run\n", path);
  print_diff (want, have);
  free (want.line);
  free (have.line);
  free (golden);
  free (copy);
  fail_msg ("the session differs from %s", path);
}

void
golden_quote (FILE *out, const void *bytes, size_t len)
{
  const unsigned char *at = bytes;

  putc ('"', out);
  for (size_t i = 0; i < len; i++)
    if (at[i] == '\n')
      fputs ("\\n", out);
    else if (at[i] < ' ' || at[i] > '~')
      fprintf (out, "\\x%02x", at[i]);
    else
      putc (at[i], out);
  putc ('"', out);
}

static uint32_t
number_of (const char *ids[IDS_MAX], uint32_t *count, const char *id)
{
  for (uint32_t i = 0; i < *count; i++)
    if (strncmp (ids[i], id, ID_DIGITS) == 0)
      return i + 1;
  assert_true (*count < IDS_MAX);
  ids[(*count)++] = id;
  return *count;
}

char *
golden_name_ids (const char *text)
{
  const char *ids[IDS_MAX];
  uint32_t count = 0;
  char *out = NULL;
  size_t len;
  FILE *file = open_memstream (&out, &len);

  assert_non_null (file);
  while (*text != 0)
    {
      size_t digits = strspn (text, "0123456789abcdef");

      if (digits == ID_DIGITS)
        fprintf (file, "<id-%u>", number_of (ids, &count, text));
      else
        fwrite (text, 1, digits > 0 ? digits : 1, file);
      text += digits > 0 ? digits : 1;
    }
  fclose (file);
  return out;
}

char *
golden_name_values (const char *text,
                    const char *before,
                    const char *accept,
                    const char *name)
{
  char *out = NULL;
  size_t len;
  FILE *file = open_memstream (&out, &len);
  const char *at;

  assert_non_null (file);
  while ((at = strstr (text, before)) != NULL)
    {
      at += strlen (before);
      fprintf (file, "%.*s%s", (int) (at - text), text, name);
      text = at + strspn (at, accept);
    }
  fputs (text, file);
  fclose (file);
  return out;
}
