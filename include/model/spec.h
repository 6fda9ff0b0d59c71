#ifndef MODEL_SPEC_H
#define MODEL_SPEC_H

#include "base/error.h"
#include "base/id.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct MuxSize - resources of a worker, or booked for a task
 * @cpu_milli: thousandths of a processor
 * @mem_mib: memory in MiB
 * @accels: accelerators
 * @slots: tasks that a worker may hold; a task takes 1
 */
typedef struct
{
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
  uint32_t slots;
} MuxSize;

bool mux_size_fits (MuxSize need, MuxSize free);
MuxSize mux_size_add (MuxSize a, MuxSize b);
/** mux_size_sub() - stops at 0 in each field */
MuxSize mux_size_sub (MuxSize a, MuxSize b);

/**
 * enum MuxKind - what a class's work is like
 */
typedef enum
{
  MUX_KIND_SERVICE,      /* a request with an answer, waited for */
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
 * @product: the product that answers for it
 * @kind: see enum MuxKind
 * @idempotent: running it twice does no harm (one after the other)
 * @start_within_ms: the promised waiting time
 * @start_share_ppm: share of starts that must meet it, in millionths
 * @size: declared need of one task
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
 * struct MuxProductSpec - a product and what it may hold at once
 * @name: unique among products
 * @quota: most resources booked for it over the cell; all 0: no bound
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  MuxSize quota;
} MuxProductSpec;

/**
 * struct MuxCellSpec - targets of the whole cell
 * @idle_ppm: share of capacity it may pay for while idle, in millionths;
 *   the reserve for urgent work is held inside this
 */
typedef struct
{
  uint32_t idle_ppm;
} MuxCellSpec;

/* JSON forms.  Readers check every field, add each thing wrong to @findings
 * with @place in front, and return false when there was any; unknown fields
 * are findings too. */
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
/** mux_findings_to_json() - [{"place":…,"text":…},…] */
json_t *mux_findings_to_json (const MuxFindings *findings);

#endif
