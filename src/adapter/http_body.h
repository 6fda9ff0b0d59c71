#ifndef ADAPTER_HTTP_BODY_H
#define ADAPTER_HTTP_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct HttpBody - a body that arrives in pieces
 * @bytes: what has arrived; NULL: nothing, or discarded
 * @len: bytes that have arrived, also when they are discarded
 * @capacity: allocated bytes
 * @expected: announced length; 0: none was announced
 */
typedef struct
{
  uint8_t *bytes;
  size_t len;
  size_t capacity;
  uint64_t expected;
} HttpBody;

/** http_body_next_capacity() - what to allocate so that @n more bytes fit
 * Grows by doubling, up to the announced length or else @max.
 * Return: the present capacity when they fit. */
size_t http_body_next_capacity (const HttpBody *body, size_t n, size_t max);
/** http_body_append() - keep a piece
 * @capacity: of http_body_next_capacity()
 * Return: false when out of memory. */
bool
http_body_append (HttpBody *body, const void *piece, size_t n, size_t capacity);
/** http_body_clear() - free what is kept */
void http_body_clear (HttpBody *body);

#endif
