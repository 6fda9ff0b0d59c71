#ifndef CLI_RENDER_H
#define CLI_RENDER_H

#include <jansson.h>
#include <stdio.h>

/**
 * struct MuxColumn - one column of a table
 * @title: its heading; NULL closes a list of columns
 * @path: fields from the row down, joined by '.'
 */
typedef struct
{
  const char *title;
  const char *path;
} MuxColumn;

/** mux_json_at() - what stands at "a.b.c" below @json, or NULL */
const json_t *mux_json_at (const json_t *json, const char *path);

/**
 * mux_render_table() - rows of an array of objects; "-" for absent fields
 * @rows: anything but an array counts as empty
 */
void mux_render_table (FILE *out, const json_t *rows, const MuxColumn *columns);

/** mux_render_fields() - "a.b: value" for each field of an object but arrays */
void mux_render_fields (FILE *out, const json_t *object);

/** mux_render_json() - indented JSON and a line end */
void mux_render_json (FILE *out, const json_t *json);

/**
 * mux_render_text() - a value as plain text, owned by the caller
 *
 * Names and texts come from other operators; control characters in them could
 * drive the reader's terminal and are shown as '?'.
 *
 * Return: NULL when memory is out.
 */
char *mux_render_text (const json_t *value);

#endif
