#ifndef BASE_NUMBER_H
#define BASE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * mux_unsigned_parse() - a whole number that came from outside
 * @text: decimal digits and nothing else; NULL is no number
 * @max: largest that is taken
 * @value: unchanged on failure
 * Return: false when it is no number or above @max.
 */
bool mux_unsigned_parse (const char *text, uint64_t max, uint64_t *value);

#endif
