#include "peer_curve.h"

#include <string.h>
#include <zmq.h>

#define KEY_TEXT_LEN (MUX_CURVE_KEY_TEXT_SIZE - 1)
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "cuminmux"
/* Questions answered in one turn, and frames that one may have. */
#define ZAP_BATCH 64
#define ZAP_FRAMES_MAX 16

/* Frames of a question, RFC 27 of ZeroMQ. */
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
} ZapQuestion;

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
                          "this ZeroMQ was built without CURVE");
  memcpy (curve->secret_text, secret, MUX_CURVE_KEY_TEXT_SIZE);
  memcpy (curve->public_text, public, MUX_CURVE_KEY_TEXT_SIZE);
  if (!keys_are_pair (curve))
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "the CURVE keys are no pair of Z85 keys");
  curve->zap = zmq_socket (zmq, ZMQ_REP);
  if (curve->zap == NULL || zmq_bind (curve->zap, ZAP_ENDPOINT) != 0)
    return mux_error_set (err, MUX_ERROR_IO, "CURVE's handler: %s",
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
  /* ZeroMQ lets every key in while nobody answers its question, so zap is
   * bound before a server is and closed after it. */
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
frame_is (const ZapQuestion *question,
          ZapFrame which,
          const void *bytes,
          size_t len)
{
  zmq_msg_t *frame;

  if (which >= question->count)
    return false;
  frame = (zmq_msg_t *) &question->frame[which];
  return zmq_msg_size (frame) == len
         && memcmp (zmq_msg_data (frame), bytes, len) == 0;
}

/* All daemons of a user hold the same pair, so the only key let in is ours. */
static bool
question_is_ours (const MuxPeerCurve *curve, const ZapQuestion *question)
{
  return question->count == ZAP_FRAMES
         && frame_is (question, ZAP_VERSION, "1.0", 3)
         && frame_is (question, ZAP_DOMAIN_NAME, ZAP_DOMAIN,
                      strlen (ZAP_DOMAIN))
         && frame_is (question, ZAP_MECHANISM, "CURVE", 5)
         && frame_is (question, ZAP_KEY, curve->public_key,
                      MUX_CURVE_KEY_BYTES);
}

static void
question_free (ZapQuestion *question)
{
  for (uint32_t i = 0; i < question->count; i++)
    zmq_msg_close (&question->frame[i]);
}

/* Frames beyond those known are read away, and make the question malformed. */
static bool
question_read (void *zap, ZapQuestion *question)
{
  uint32_t extra = 0;
  bool more = true;

  question->count = 0;
  while (more && extra < ZAP_FRAMES_MAX)
    {
      zmq_msg_t frame;

      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, zap, ZMQ_DONTWAIT) < 0)
        {
          question_free (question);
          return false;
        }
      more = zmq_msg_more (&frame) != 0;
      if (question->count < ZAP_FRAMES)
        question->frame[question->count++] = frame;
      else
        {
          extra++;
          zmq_msg_close (&frame);
        }
    }
  if (extra > 0 && question->count == ZAP_FRAMES)
    zmq_msg_close (&question->frame[--question->count]);
  return true;
}

static void
question_answer (void *zap, const ZapQuestion *question, bool accepted)
{
  const int more = ZMQ_SNDMORE | ZMQ_DONTWAIT;
  zmq_msg_t *id = (zmq_msg_t *) &question->frame[ZAP_REQUEST_ID];
  bool has_id = question->count > ZAP_REQUEST_ID;

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
  ZapQuestion question;

  for (int i = 0; i < ZAP_BATCH && question_read (curve->zap, &question); i++)
    {
      question_answer (curve->zap, &question,
                       question_is_ours (curve, &question));
      question_free (&question);
    }
}
