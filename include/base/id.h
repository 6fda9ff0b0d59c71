#ifndef BASE_ID_H
#define BASE_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a name (class, product, worker, instance, data centre, rack) with
 * its NUL. */
#define MUX_NAME_LEN 48
/* Size of an "ip:port" address with its NUL. */
#define MUX_ADDR_LEN 64
/* Size of a caller's idempotency key with its NUL. */
#define MUX_KEY_LEN 129
/* Size of an id in hexadecimal with its NUL. */
#define MUX_ID_HEX_LEN 33

/**
 * struct MuxId - 128-bit identifier of a task, request or job
 * @hi: upper 64 bits
 * @lo: lower 64 bits; both halves 0: no id
 */
typedef struct
{
  uint64_t hi;
  uint64_t lo;
} MuxId;

bool mux_id_equal (MuxId a, MuxId b);
bool mux_id_is_none (MuxId id);

/** mux_id_format() - format @id as 32 lower-case hexadecimal digits and a NUL
 */
void mux_id_format (MuxId id, char out[MUX_ID_HEX_LEN]);

/**
 * mux_id_parse() - parse 32 lower-case hexadecimal digits
 * @text: may be NULL
 * Return: false if @text is malformed; @id is then unchanged.
 */
bool mux_id_parse (const char *text, MuxId *id);

/** mux_id_from_key() - derive a task's or job's id from its class and
 * idempotency key: the same pair gives the same id on every daemon */
MuxId mux_id_from_key (const char *class_name, const char *key);

/** mux_id_derive() - derive the id of attempt or gang member number @part of
 * @whole */
MuxId mux_id_derive (MuxId whole, uint64_t part);

/** mux_hash_name() - 64-bit hash of @name with @seed */
uint64_t mux_hash_name (const char *name, uint64_t seed);

/** mux_name_copy() - copy @src into @dst and fill the rest of @dst with NULs
 * Return: false if @src was too long and has been truncated. */
bool mux_name_copy (char dst[MUX_NAME_LEN], const char *src);

/** mux_name_of_text() - name of a text of any length: the text itself up to 46
 * bytes, else 47 bytes made of its beginning and its 128-bit hash, so that two
 * texts have the same name only if they are the same */
void mux_name_of_text (char dst[MUX_NAME_LEN], const char *text);

/** mux_name_valid() - whether @name is 1 to 47 bytes of a-z A-Z 0-9 . _ - */
bool mux_name_valid (const char *name);

#endif
