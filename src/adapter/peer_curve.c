#include "peer_curve.h"

#include <string.h>
#include <zmq.h>

#define KEY_TEXT_LEN (MUX_CURVE_KEY_TEXT_SIZE - 1)
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "cuminmux"
/* Most requests answered in a row, and most excess frames read of one: the
 * thread that answers them serves all links as well. */
#define ZAP_BATCH_MAX 64
#define ZAP_EXCESS_FRAMES_MAX 16

/* Frames of a ZAP request, see ZeroMQ's RFC 27. */
typedef enum
{
  ZAP_VERSION,
  ZAP_REQUEST_ID,
  ZAP_DOMAIN_NAME,
  ZAP_ADDRESS,
  ZAP_IDENTITY,
  ZAP_MECHANISM,
  ZAP_KEY,
  ZAP_FRAMES
} ZapFrame;

typedef struct
{
  zmq_msg_t frame[ZAP_FRAMES];
  uint32_t count;
} ZapRequest;

static bool
keys_are_pair (MuxPeerCurve *curve)
{
  uint8_t secret_key[MUX_CURVE_KEY_BYTES];
  char derived[MUX_CURVE_KEY_TEXT_SIZE];

  return zmq_z85_decode (secret_key, curve->secret_text) != NULL
         && zmq_z85_decode (curve->public_key, curve->public_text) != NULL
         && zmq_curve_public (derived, curve->secret_text) == 0
         && strcmp (derived, curve->public_text) == 0;
}

bool
mux_peer_curve_open (MuxPeerCurve *curve,
                     void *zmq,
                     const char *secret,
                     const char *public,
                     MuxError *err)
{
  memset (curve, 0, sizeof *curve);
  if (secret == NULL && public == NULL)
    return true;
  if (secret == NULL || public == NULL || strlen (secret) != KEY_TEXT_LEN
      || strlen (public) != KEY_TEXT_LEN)
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "CURVE needs a secret and a public key of %d "
                          "characters each",
                          KEY_TEXT_LEN);
  if (!zmq_has ("curve"))
    return mux_error_set (err, MUX_ERROR_UNAVAILABLE,
                          "this ZeroMQ library was built without CURVE");
  memcpy (curve->secret_text, secret, MUX_CURVE_KEY_TEXT_SIZE);
  memcpy (curve->public_text, public, MUX_CURVE_KEY_TEXT_SIZE);
  if (!keys_are_pair (curve))
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "the CURVE keys are not a matching pair of Z85 keys");
  curve->zap = zmq_socket (zmq, ZMQ_REP);
  if (curve->zap == NULL || zmq_bind (curve->zap, ZAP_ENDPOINT) != 0)
    return mux_error_set (err, MUX_ERROR_IO,
                          "can't open the CURVE key handler: %s",
                          zmq_strerror (zmq_errno ()));
  curve->enabled = true;
  return true;
}

void
mux_peer_curve_close (MuxPeerCurve *curve)
{
  if (curve->zap != NULL)
    zmq_close (curve->zap);
  curve->zap = NULL;
}

bool
mux_peer_curve_set_server_options (const MuxPeerCurve *curve, void *socket)
{
  int on = 1;

  if (!curve->enabled)
    return true;
  /* ZeroMQ accepts every key while there is no ZAP handler, so the handler is
   * bound before the server socket and closed after it. */
  return zmq_setsockopt (socket, ZMQ_CURVE_SERVER, &on, sizeof on) == 0
         && zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, curve->secret_text,
                            MUX_CURVE_KEY_TEXT_SIZE)
                == 0
         && zmq_setsockopt (socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN,
                            strlen (ZAP_DOMAIN))
                == 0;
}

bool
mux_peer_curve_set_client_options (const MuxPeerCurve *curve, void *socket)
{
  if (!curve->enabled)
    return true;
  return zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, curve->public_text,
                         MUX_CURVE_KEY_TEXT_SIZE)
             == 0
         && zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, curve->public_text,
                            MUX_CURVE_KEY_TEXT_SIZE)
                == 0
         && zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, curve->secret_text,
                            MUX_CURVE_KEY_TEXT_SIZE)
                == 0;
}

static bool
frame_equals (const ZapRequest *request,
              ZapFrame which,
              const void *bytes,
              size_t len)
{
  zmq_msg_t *frame;

  if (which >= request->count)
    return false;
  frame = (zmq_msg_t *) &request->frame[which];
  return zmq_msg_size (frame) == len
         && memcmp (zmq_msg_data (frame), bytes, len) == 0;
}

/* All daemons of a deployment share one key pair, so only its public key is
 * accepted. */
static bool
request_is_authorized (const MuxPeerCurve *curve, const ZapRequest *request)
{
  return request->count == ZAP_FRAMES
         && frame_equals (request, ZAP_VERSION, "1.0", 3)
         && frame_equals (request, ZAP_DOMAIN_NAME, ZAP_DOMAIN,
                          strlen (ZAP_DOMAIN))
         && frame_equals (request, ZAP_MECHANISM, "CURVE", 5)
         && frame_equals (request, ZAP_KEY, curve->public_key,
                          MUX_CURVE_KEY_BYTES);
}

static void
request_free (ZapRequest *request)
{
  for (uint32_t i = 0; i < request->count; i++)
    zmq_msg_close (&request->frame[i]);
}

/* Excess frames are read and dropped.  The request then counts as malformed, by
 * a frame count that differs from ZAP_FRAMES. */
static bool
request_receive (void *zap, ZapRequest *request)
{
  uint32_t excess = 0;
  bool more = true;

  request->count = 0;
  while (more && excess < ZAP_EXCESS_FRAMES_MAX)
    {
      zmq_msg_t frame;

      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, zap, ZMQ_DONTWAIT) < 0)
        {
          request_free (request);
          return false;
        }
      more = zmq_msg_more (&frame) != 0;
      if (request->count < ZAP_FRAMES)
        request->frame[request->count++] = frame;
      else
        {
          excess++;
          zmq_msg_close (&frame);
        }
    }
  if (excess > 0 && request->count == ZAP_FRAMES)
    zmq_msg_close (&request->frame[--request->count]);
  return true;
}

static void
request_reply (void *zap, const ZapRequest *request, bool accepted)
{
  const int more = ZMQ_SNDMORE | ZMQ_DONTWAIT;
  zmq_msg_t *id = (zmq_msg_t *) &request->frame[ZAP_REQUEST_ID];
  bool has_id = request->count > ZAP_REQUEST_ID;

  zmq_send (zap, "1.0", 3, more);
  zmq_send (zap, has_id ? zmq_msg_data (id) : "",
            has_id ? zmq_msg_size (id) : 0, more);
  zmq_send (zap, accepted ? "200" : "400", 3, more);
  zmq_send (zap, accepted ? "OK" : "No access", accepted ? 2 : 9, more);
  zmq_send (zap, "", 0, more);
  zmq_send (zap, "", 0, ZMQ_DONTWAIT);
}

void
mux_peer_curve_serve_zap (const MuxPeerCurve *curve)
{
  ZapRequest request;

  for (int i = 0; i < ZAP_BATCH_MAX && request_receive (curve->zap, &request);
       i++)
    {
      request_reply (curve->zap, &request,
                     request_is_authorized (curve, &request));
      request_free (&request);
    }
}
