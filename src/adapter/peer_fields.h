#ifndef ADAPTER_PEER_FIELDS_H
#define ADAPTER_PEER_FIELDS_H

#include "port/peer.h"

#include <stddef.h>
#include <stdint.h>

/* Version of the message format; messages of any other version are refused. */
#define MUX_PEER_VERSION 1
/* Largest body of a message, in bytes. */
#define MUX_PEER_BODY_MAX (4U << 20)
/* Upper bound on the bytes of all other fields of a message. */
#define MUX_PEER_FIELDS_MAX_BYTES 768U
#define MUX_PEER_MSG_MAX (MUX_PEER_BODY_MAX + MUX_PEER_FIELDS_MAX_BYTES)

/* A message is one flat msgpack array: the version, the verb, the fields that
 * all messages have, and the fields of the verb, in the order of its list. */

typedef enum
{
  MUX_FIELD_NAME,
  MUX_FIELD_NAME_OR_NONE,
  MUX_FIELD_ADDR,
  MUX_FIELD_BOOL,
  MUX_FIELD_U32,
  MUX_FIELD_U64,
  MUX_FIELD_I64,
  MUX_FIELD_ID,
  MUX_FIELD_ID_OR_NONE,
  MUX_FIELD_SIZE,
  MUX_FIELD_REASON,
  MUX_FIELD_STATE,
  MUX_FIELD_BODY,
} MuxPeerFieldKind;

typedef struct
{
  MuxPeerFieldKind kind;
  const char *name;
  size_t offset;
} MuxPeerField;

#define MUX_PEER_SIZE_ENTRIES 4
#define MUX_PEER_ID_BYTES 16
/* Array entries before the fields: version and verb. */
#define MUX_PEER_HEADER_ENTRIES 2

/**
 * struct MuxPeerFieldList - fields in the order of the message
 * @optional: how many of the last fields are left out if all of them are 0,
 *   as versions without them refuse longer messages; all are MUX_FIELD_U32
 */
typedef struct
{
  const MuxPeerField *fields;
  uint32_t count;
  uint32_t optional;
} MuxPeerFieldList;

extern const MuxPeerFieldList mux_peer_common_fields;
extern const MuxPeerFieldList mux_peer_verb_fields[MUX_PEER_VERB_COUNT];

/** mux_peer_entry_count() - array entries of a message with this @verb and all
 * its optional fields */
uint32_t mux_peer_entry_count (MuxPeerVerb verb);
/** mux_peer_without_optional() - the list without its optional fields */
MuxPeerFieldList mux_peer_without_optional (const MuxPeerFieldList *list);

#endif
