#include "render.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 24
#define PATH_LEN 96
#define GAP "  "

const json_t *
mux_json_at (const json_t *json, const char *path)
{
  char key[PATH_LEN];

  while (json != NULL && *path != 0)
    {
      size_t len = strcspn (path, ".");

      if (len >= sizeof key)
        return NULL;
      memcpy (key, path, len);
      key[len] = 0;
      json = json_object_get (json, key);
      path += len + (path[len] == '.');
    }
  return json;
}

static void
hide_controls (char *text)
{
  for (; *text != 0; text++)
    if ((unsigned char) *text < ' ' || *text == 0x7f)
      *text = '?';
}

char *
mux_render_text (const json_t *value)
{
  char *text;

  if (value == NULL || json_is_null (value))
    return strdup ("-");
  if (json_is_string (value))
    text = strdup (json_string_value (value));
  else if (json_is_boolean (value))
    text = strdup (json_is_true (value) ? "yes" : "no");
  else
    text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY
                                  | JSON_REAL_PRECISION (6));
  if (text != NULL)
    hide_controls (text);
  return text;
}

/**
 * struct Grid - cells of a table, with the headings in the first row
 * @rows: number of rows, including the headings
 * @columns: number of columns
 * @width: width of the widest cell of each column
 * @cell: texts in row-major order, owned
 */
typedef struct
{
  size_t rows;
  size_t columns;
  size_t width[COLUMNS_MAX];
  char **cell;
} Grid;

static void
grid_free (Grid *grid)
{
  for (size_t i = 0; i < grid->rows * grid->columns; i++)
    free (grid->cell[i]);
  free (grid->cell);
}

static bool
grid_put (Grid *grid, size_t row, size_t column, char *text)
{
  size_t len;

  if (text == NULL)
    return false;
  grid->cell[row * grid->columns + column] = text;
  len = strlen (text);
  if (len > grid->width[column])
    grid->width[column] = len;
  return true;
}

static bool
grid_fill (Grid *grid, const json_t *rows, const MuxColumn *columns)
{
  for (size_t c = 0; c < grid->columns; c++)
    {
      if (!grid_put (grid, 0, c, strdup (columns[c].title)))
        return false;
      for (size_t r = 1; r < grid->rows; r++)
        {
          const json_t *at
              = mux_json_at (json_array_get (rows, r - 1), columns[c].path);

          if (!grid_put (grid, r, c, mux_render_text (at)))
            return false;
        }
    }
  return true;
}

static void
grid_print (const Grid *grid, FILE *out)
{
  for (size_t r = 0; r < grid->rows; r++)
    for (size_t c = 0; c < grid->columns; c++)
      {
        const char *text = grid->cell[r * grid->columns + c];

        if (c + 1 == grid->columns)
          fprintf (out, "%s\n", text);
        else
          fprintf (out, "%-*s" GAP, (int) grid->width[c], text);
      }
}

void
mux_render_table (FILE *out, const json_t *rows, const MuxColumn *columns)
{
  Grid grid = { .rows = json_array_size (rows) + 1 };

  while (grid.columns < COLUMNS_MAX && columns[grid.columns].title != NULL)
    grid.columns++;
  grid.cell = calloc (grid.rows * grid.columns, sizeof *grid.cell);
  if (grid.cell == NULL)
    return;
  if (grid_fill (&grid, rows, columns))
    grid_print (&grid, out);
  grid_free (&grid);
}

static void
render_below (FILE *out, const json_t *object, const char *prefix)
{
  const char *key;
  json_t *value;
  char path[PATH_LEN];

  json_object_foreach ((json_t *) object, key, value)
  {
    char *text;

    snprintf (path, sizeof path, "%s%s%s", prefix, *prefix != 0 ? "." : "",
              key);
    if (json_is_object (value))
      render_below (out, value, path);
    else if (!json_is_array (value) && (text = mux_render_text (value)) != NULL)
      {
        hide_controls (path);
        fprintf (out, "%s: %s\n", path, text);
        free (text);
      }
  }
}

void
mux_render_fields (FILE *out, const json_t *object)
{
  render_below (out, object, "");
}

void
mux_render_json (FILE *out, const json_t *json)
{
  json_dumpf (json, out, JSON_INDENT (2) | JSON_ENCODE_ANY);
  fputc ('\n', out);
}
