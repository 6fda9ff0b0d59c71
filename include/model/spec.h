#ifndef MODEL_SPEC_H
#define MODEL_SPEC_H

#include "base/error.h"
#include "base/id.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct MuxSize - resources of a worker or of a task
 * @cpu_milli: thousandths of a processor
 * @mem_mib: memory in MiB
 * @accels: accelerators
 * @slots: number of tasks that a worker may hold; a task takes 1
 */
typedef struct
{
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
  uint32_t slots;
} MuxSize;

bool mux_size_fits (MuxSize need, MuxSize free);
/** mux_size_add() - each field is limited to UINT32_MAX */
MuxSize mux_size_add (MuxSize a, MuxSize b);
/** mux_size_sub() - each field is at least 0 */
MuxSize mux_size_sub (MuxSize a, MuxSize b);

/**
 * enum MuxKind - kind of work of a class
 */
typedef enum
{
  MUX_KIND_SERVICE,      /* a request whose caller waits for the response */
  MUX_KIND_BATCH,        /* a job of tasks that may start one by one */
  MUX_KIND_GANG,         /* a job whose tasks all start together */
  MUX_KIND_LONG_RUNNING, /* tasks that run until they are cancelled */
  MUX_KIND_COUNT
} MuxKind;

const char *mux_kind_name (MuxKind kind);
bool mux_kind_parse (const char *text, MuxKind *kind);

/**
 * struct MuxClassSpec - a class of work and its targets, set by operators
 * @name: unique among classes
 * @product: the product that it belongs to
 * @kind: see enum MuxKind
 * @idempotent: running a task twice, one run after the other, does no harm
 * @start_within_ms: promised wait until the start
 * @start_share_ppm: promised share of starts within it, in millionths
 * @size: declared resources of one task
 * @run_ms: declared run time of one task; 0 for long-running
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char product[MUX_NAME_LEN];
  MuxKind kind;
  bool idempotent;
  uint32_t start_within_ms;
  uint32_t start_share_ppm;
  MuxSize size;
  uint32_t run_ms;
} MuxClassSpec;

/**
 * struct MuxProductSpec - a product and its quota
 * @name: unique among products
 * @quota: maximum resources booked for it in the whole cell; 0 in a field:
 *   unlimited
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  MuxSize quota;
} MuxProductSpec;

/**
 * struct MuxCellSpec - targets of the whole cell
 * @idle_ppm: share of the capacity that may be kept idle, in millionths; the
 *   headroom of the reserve for urgent work is limited to it
 */
typedef struct
{
  uint32_t idle_ppm;
} MuxCellSpec;

/* JSON forms.  The readers check every field and reject unknown ones.  Each
 * error is added to @findings, its place prefixed with @place; they return
 * false if there was any. */
json_t *mux_class_to_json (const MuxClassSpec *spec);
bool mux_class_from_json (const json_t *json,
                          const char *place,
                          MuxClassSpec *spec,
                          MuxFindings *findings);
json_t *mux_product_to_json (const MuxProductSpec *spec);
bool mux_product_from_json (const json_t *json,
                            const char *place,
                            MuxProductSpec *spec,
                            MuxFindings *findings);
json_t *mux_cell_to_json (const MuxCellSpec *spec);
bool mux_cell_from_json (const json_t *json,
                         const char *place,
                         MuxCellSpec *spec,
                         MuxFindings *findings);
json_t *mux_size_to_json (MuxSize size);
bool mux_size_from_json (const json_t *json,
                         const char *place,
                         MuxSize *size,
                         MuxFindings *findings);
/** mux_findings_to_json() - returns [{"place":…,"text":…},…] */
json_t *mux_findings_to_json (const MuxFindings *findings);

#endif
