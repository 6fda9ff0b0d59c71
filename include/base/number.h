#ifndef BASE_NUMBER_H
#define BASE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * mux_unsigned_parse() - parse an untrusted unsigned integer
 * @text: decimal digits only; NULL is invalid
 * @max: largest valid value
 * @value: receives the number; unchanged on failure
 * Return: false if @text is malformed or the number exceeds @max.
 */
bool mux_unsigned_parse (const char *text, uint64_t max, uint64_t *value);

#endif
