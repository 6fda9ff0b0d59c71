#ifndef ADAPTER_PEER_CURVE_H
#define ADAPTER_PEER_CURVE_H

#include "base/error.h"

#include <stdbool.h>
#include <stdint.h>

#define MUX_CURVE_KEY_BYTES 32
#define MUX_CURVE_KEY_TEXT_SIZE 41

/**
 * struct MuxPeerCurve - encryption between the daemons of one user
 * @enabled: keys were given
 * @secret_text: secret key, Z85
 * @public_text: public key, Z85
 * @public_key: public key, binary
 * @zap: REP socket of the ZAP handler, which ZeroMQ asks to authorize keys
 */
typedef struct
{
  bool enabled;
  char secret_text[MUX_CURVE_KEY_TEXT_SIZE];
  char public_text[MUX_CURVE_KEY_TEXT_SIZE];
  uint8_t public_key[MUX_CURVE_KEY_BYTES];
  void *zap;
} MuxPeerCurve;

/**
 * mux_peer_curve_open() - check the keys and bind the ZAP handler's socket
 * @zmq: ZeroMQ context
 * @secret: Z85; NULL for no encryption, and so must @public be then
 * Return: false with @err set when the keys are not a valid pair, or when
 * ZeroMQ has no CURVE.
 */
bool mux_peer_curve_open (MuxPeerCurve *curve,
                          void *zmq,
                          const char *secret,
                          const char *public,
                          MuxError *err);
void mux_peer_curve_close (MuxPeerCurve *curve);
/** mux_peer_curve_set_server_options() - prepare a socket before its bind */
bool mux_peer_curve_set_server_options (const MuxPeerCurve *curve,
                                        void *socket);
/** mux_peer_curve_set_client_options() - prepare a socket before its connect
 */
bool mux_peer_curve_set_client_options (const MuxPeerCurve *curve,
                                        void *socket);
/** mux_peer_curve_serve_zap() - answer the requests that wait at the handler */
void mux_peer_curve_serve_zap (const MuxPeerCurve *curve);

#endif
