#ifndef STANDIN_PLATFORM_CODEC_H
#define STANDIN_PLATFORM_CODEC_H

#include "standin/platform_state.h"

#include <msgpack.h>

/* The MessagePack bodies of the platform's table calls. */

/**
 * struct StandinScan - parameters of a scan
 */
typedef struct
{
  char prefix[MUX_ROW_KEY_LEN];
  char after[MUX_ROW_KEY_LEN];
  uint32_t limit;
} StandinScan;

/** standin_platform_read_txn() - parses a transaction; false if @bytes is none.
 * @rows must be released in both cases. */
bool
standin_platform_read_txn (const void *bytes, size_t len, StandinRowSet *rows);
bool
standin_platform_read_keys (const void *bytes, size_t len, StandinRowSet *rows);
bool
standin_platform_read_scan (const void *bytes, size_t len, StandinScan *scan);
void standin_platform_write_rows (msgpack_packer *out,
                                  const StandinRowSet *rows);

#endif
