#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/**
 * mux_address_parse() - parse "ip:port" or "[ip6]:port"
 * @text: numeric address; host names are not resolved
 * @addr: receives the address, ready for bind() or connect()
 * @len: receives the used length of @addr, in bytes
 * Return: false if @text is malformed; @addr and @len are then unspecified.
 */
bool mux_address_parse (const char *text,
                        struct sockaddr_storage *addr,
                        socklen_t *len);

/** mux_address_is_connectable() - whether @text is a valid connect() target: it
 * parses, its port is not 0 and its host is not the wildcard address */
bool mux_address_is_connectable (const char *text);

/** mux_address_is_loopback() - whether @text parses and is a loopback address
 */
bool mux_address_is_loopback (const char *text);

/** mux_address_format() - format @addr in the form mux_address_parse() accepts
 * Return: false if the address family is unknown or @cap is too small. */
bool
mux_address_format (const struct sockaddr_storage *addr, char *out, size_t cap);

#endif
