#ifndef SUPPORT_GOLDEN_H
#define SUPPORT_GOLDEN_H

#include <stddef.h>
#include <stdio.h>

/* Golden files of whole sessions.  Tests run in the root of the tree. */

/** golden_assert() - @text is test/golden/@name.txt, byte for byte
 *
 * If not, prints a unified diff and fails the test.  With MUX_GOLDEN_WRITE=1
 * in the environment the file is written instead. */
void golden_assert (const char *name, const char *text);
/** golden_quote() - @bytes in quotes, those that are not text as \xNN */
void golden_quote (FILE *out, const void *bytes, size_t len);
/** golden_name_ids() - @text with each id of 32 hexadecimal digits replaced by
 * a name in the order of first appearance: <id-1>, <id-2>, …
 * Return: for the caller to free. */
char *golden_name_ids (const char *text);
/** golden_name_values() - what follows @before, as long as it is of @accept,
 * replaced by @name
 * Return: for the caller to free. */
char *golden_name_values (const char *text,
                          const char *before,
                          const char *accept,
                          const char *name);

#endif
