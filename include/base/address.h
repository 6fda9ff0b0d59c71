#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/**
 * mux_address_parse() - read "ip:port" or "[ip6]:port", IP by number
 * @text: the address; names are not looked up
 * @addr: receives it, ready for bind() or connect()
 * @len: receives the length used of @addr
 * Return: false when @text is anything else.
 */
bool mux_address_parse (const char *text,
                        struct sockaddr_storage *addr,
                        socklen_t *len);

/** mux_address_reachable() - whether @text, as mux_address_parse() reads it,
 * can be connected to: it names a port and one host */
bool mux_address_reachable (const char *text);

/** mux_address_loopback() - whether @text, as mux_address_parse() reads it, is
 * reached from this instance alone */
bool mux_address_loopback (const char *text);

/** mux_address_format() - write @addr as mux_address_parse() reads it
 * Return: false when the family is unknown or @cap is too small. */
bool
mux_address_format (const struct sockaddr_storage *addr, char *out, size_t cap);

#endif
