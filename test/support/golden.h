#ifndef SUPPORT_GOLDEN_H
#define SUPPORT_GOLDEN_H

#include <stddef.h>
#include <stdio.h>

/* Comparison with golden files.  Tests run in the root of the tree. */

/** golden_assert() - asserts that @text equals test/golden/@name.txt
 *
 * If not, prints a unified diff and fails the test.  With MUX_GOLDEN_WRITE=1
 * in the environment the file is written instead. */
void golden_assert (const char *name, const char *text);
/** golden_quote() - writes @bytes in quotes, newlines as \n and other bytes
 * that are not printable ASCII as \xNN */
void golden_quote (FILE *out, const void *bytes, size_t len);
/** golden_name_ids() - replaces each id of 32 hexadecimal digits by a name, in
 * the order of first appearance: <id-1>, <id-2>, …
 * Return: the new text, for the caller to free. */
char *golden_name_ids (const char *text);
/** golden_name_values() - replaces by @name the characters of @accept that
 * follow each occurrence of @before
 * Return: the new text, for the caller to free. */
char *golden_name_values (const char *text,
                          const char *before,
                          const char *accept,
                          const char *name);

#endif
