#ifndef CLI_RENDER_H
#define CLI_RENDER_H

#include <jansson.h>
#include <stdio.h>

/**
 * struct MuxColumn - one column of a table
 * @title: heading; NULL terminates a list of columns
 * @path: field names from the row down, joined by '.'
 */
typedef struct
{
  const char *title;
  const char *path;
} MuxColumn;

/** mux_json_at() - value at path "a.b.c" below @json, or NULL */
const json_t *mux_json_at (const json_t *json, const char *path);

/**
 * mux_render_table() - print an array of objects as a table
 * @rows: treated as empty if not an array
 *
 * Absent fields are printed as "-".
 */
void mux_render_table (FILE *out, const json_t *rows, const MuxColumn *columns);

/** mux_render_fields() - print "a.b: value" for each field of an object
 * except arrays */
void mux_render_fields (FILE *out, const json_t *object);

/** mux_render_json() - print indented JSON and a newline */
void mux_render_json (FILE *out, const json_t *json);

/**
 * mux_render_text() - format a value as plain text
 *
 * Control characters are replaced by '?': values may come from other users, and
 * escape sequences in them could control the reader's terminal.
 *
 * Return: text owned by the caller; NULL if out of memory.
 */
char *mux_render_text (const json_t *value);

#endif
