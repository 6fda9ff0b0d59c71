#ifndef CELL_TOKEN_H
#define CELL_TOKEN_H

#include "cell_private.h"

/*
 * Checkpoints of workers and proofs of the policy service: opaque texts that
 * are handed on whole or not at all.
 */

/* Daemons of the previous protocol cut these texts to one byte less than this.
 */
#define CELL_SHORT_TOKEN_LEN 72

/** cell_json_text_bytes() - size of @len bytes of text as a JSON string,
 * without its quotes */
size_t cell_json_text_bytes (const char *text, size_t len);
/** cell_checkpoint_fits() - whether it can be carried, see
 * MUX_CHECKPOINT_BYTES_MAX; NULL fits */
bool cell_checkpoint_fits (const MuxBlob *checkpoint);
/** cell_proof_fits() - as above, see MUX_PROOF_BYTES_MAX */
bool cell_proof_fits (const MuxBlob *proof);
/** cell_token_is_short() - whether daemons of the previous protocol carry it
 * whole; NULL is short */
bool cell_token_is_short (const MuxBlob *token);

/** cell_reply_drop_tokens() - remove what exceeds a limit from a reply: such a
 * checkpoint, and the approval with such a proof */
void cell_reply_drop_tokens (MuxCell *cell, MuxCellReply *reply);

/** cell_token_set() - replace the text in @slot, which the planner keeps
 * @token: a reference is taken; NULL: none
 * Return: false: no memory is left for it, and @slot is unchanged. */
bool cell_token_set (MuxCell *cell, MuxBlob **slot, MuxBlob *token);

#endif
