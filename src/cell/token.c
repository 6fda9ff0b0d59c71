#include "token.h"

#include <string.h>

/* The planner keeps one text for each task and for each approval.  Together
 * they take at most this part of its memory, */
#define MEMORY_PART 8
/* or this much where its memory is not known. */
#define MEMORY_DEFAULT_MIB 16
#define BYTES_PER_MIB ((uint64_t) 1 << 20)
/* Of the allocator, for each text. */
#define ALLOCATION_BYTES 16
/* Between two log lines. */
#define LOG_INTERVAL_MS 1000
/* A control character in JSON. */
#define JSON_CHAR_BYTES_MAX (sizeof "\\u0000" - 1)

size_t
cell_json_text_bytes (const char *text, size_t len)
{
  size_t bytes = 0;

  for (size_t i = 0; i < len; i++)
    if ((unsigned char) text[i] < ' ')
      bytes += JSON_CHAR_BYTES_MAX;
    else
      bytes += text[i] == '"' || text[i] == '\\' ? 2 : 1;
  return bytes;
}

/* Rows and other texts end at a NUL. */
static bool
has_nul (const MuxBlob *token)
{
  return memchr (token->bytes, 0, token->len) != NULL;
}

bool
cell_checkpoint_fits (const MuxBlob *checkpoint)
{
  if (checkpoint == NULL)
    return true;
  if (checkpoint->len > MUX_CHECKPOINT_BYTES_MAX || has_nul (checkpoint))
    return false;
  /* Most are so short that their characters need not be looked at. */
  return checkpoint->len * JSON_CHAR_BYTES_MAX <= MUX_CHECKPOINT_BYTES_MAX
         || cell_json_text_bytes (checkpoint->bytes, checkpoint->len)
                <= MUX_CHECKPOINT_BYTES_MAX;
}

bool
cell_proof_fits (const MuxBlob *proof)
{
  return proof->len <= MUX_PROOF_BYTES_MAX && !has_nul (proof);
}

bool
cell_token_is_short (const MuxBlob *token)
{
  return token == NULL || token->len + 1 < CELL_SHORT_TOKEN_LEN;
}

static void
report_dropped (MuxCell *cell, const char *field, size_t bytes, uint32_t max)
{
  if (cell->time.now_ms < cell->tokens.next_log_ms)
    return;
  cell->tokens.next_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  cell_log (cell, "token_dropped", "{s:s, s:I, s:i}", "field", field, "bytes",
            (json_int_t) bytes, "max", (int) max);
}

static void
drop_checkpoints (MuxCell *cell, MuxCellReply *reply)
{
  for (uint32_t i = 0; i < reply->report_count; i++)
    {
      MuxRunReport *report = &reply->report[i];

      if (cell_checkpoint_fits (report->checkpoint))
        continue;
      mux_count (cell->options.counters, MUX_COUNT_CHECKPOINTS_DROPPED, 1);
      report_dropped (cell, "checkpoint", report->checkpoint->len,
                      MUX_CHECKPOINT_BYTES_MAX);
      mux_blob_unref (report->checkpoint);
      report->checkpoint = NULL;
    }
}

static void
drop_proofs (MuxCell *cell, MuxCellReply *reply)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < reply->approval_count; i++)
    {
      MuxApproval approval = reply->approval[i];

      if (cell_proof_fits (approval.proof))
        {
          reply->approval[kept++] = approval;
          continue;
        }
      mux_count (cell->options.counters, MUX_COUNT_PROOFS_DROPPED, 1);
      report_dropped (cell, "proof", approval.proof->len, MUX_PROOF_BYTES_MAX);
      mux_blob_unref (approval.proof);
    }
  reply->approval_count = kept;
}

void
cell_reply_drop_tokens (MuxCell *cell, MuxCellReply *reply)
{
  drop_checkpoints (cell, reply);
  drop_proofs (cell, reply);
}

static uint64_t
bytes_of (const MuxBlob *token)
{
  return token != NULL ? sizeof *token + token->len + 1 + ALLOCATION_BYTES : 0;
}

static uint64_t
bytes_max (const MuxCell *cell)
{
  uint64_t mib = cell->options.memory_mib / MEMORY_PART;

  return (mib != 0 ? mib : MEMORY_DEFAULT_MIB) * BYTES_PER_MIB;
}

bool
cell_token_set (MuxCell *cell, MuxBlob **slot, MuxBlob *token)
{
  uint64_t bytes = cell->tokens.bytes - bytes_of (*slot) + bytes_of (token);

  if (token != NULL && bytes > bytes_max (cell))
    {
      mux_count (cell->options.counters, MUX_COUNT_TOKENS_NO_MEMORY, 1);
      report_dropped (cell, "memory", token->len, (uint32_t) bytes_max (cell));
      return false;
    }
  cell->tokens.bytes = bytes;
  mux_blob_ref (token);
  mux_blob_unref (*slot);
  *slot = token;
  return true;
}
