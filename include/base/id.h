#ifndef BASE_ID_H
#define BASE_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes of a name (class, product, worker, instance, data centre, rack) with
 * its closing NUL. */
#define MUX_NAME_LEN 48
/* Bytes of an "ip:port" address with its closing NUL. */
#define MUX_ADDR_LEN 64
/* Bytes of a caller's idempotency key with its closing NUL. */
#define MUX_KEY_LEN 129
/* Bytes of the hexadecimal form of an id with its closing NUL. */
#define MUX_ID_HEX_LEN 33

/**
 * struct MuxId - 128-bit identifier of a task, request or job
 * @hi: upper half
 * @lo: lower half; the id is absent when both are 0
 */
typedef struct
{
  uint64_t hi;
  uint64_t lo;
} MuxId;

bool mux_id_equal (MuxId a, MuxId b);
bool mux_id_is_none (MuxId id);

/** mux_id_format() - write @id as 32 hexadecimal digits and a NUL */
void mux_id_format (MuxId id, char out[MUX_ID_HEX_LEN]);

/**
 * mux_id_parse() - read 32 hexadecimal digits
 * Return: false when @text is anything else; @id is then untouched.
 */
bool mux_id_parse (const char *text, MuxId *id);

/** mux_id_of_key() - the id that a class and an idempotency key name */
MuxId mux_id_of_key (const char *class_name, const char *key);

/** mux_id_of_part() - the id of attempt or member number @part of @whole */
MuxId mux_id_of_part (MuxId whole, uint64_t part);

/** mux_hash_name() - 64-bit hash of a name, mixed with @seed */
uint64_t mux_hash_name (const char *name, uint64_t seed);

/** mux_name_copy() - copy a name into a field of MUX_NAME_LEN bytes
 * Return: false when it was too long and has been cut. */
bool mux_name_copy (char dst[MUX_NAME_LEN], const char *src);

/** mux_name_valid() - 1 to 47 bytes of a-z A-Z 0-9 . _ - */
bool mux_name_valid (const char *name);

#endif
