#include "render.h"
#include "verb.h"

#include <zmq.h>

#define SECRET_KEY "CUMINMUX_CURVE_SECRET_KEY"
#define PUBLIC_KEY "CUMINMUX_CURVE_PUBLIC_KEY"
/* Size of a key in Z85 with its NUL. */
#define KEY_LEN 41

static void
print_pair (MuxCliCall *call, const char *secret, const char *public)
{
  json_t *json;

  if (!call->json)
    {
      /* Z85 contains shell metacharacters, but no single quote. */
      fprintf (call->host->out, SECRET_KEY "='%s'\n" PUBLIC_KEY "='%s'\n",
               secret, public);
      return;
    }
  json = json_pack ("{s:s, s:s}", SECRET_KEY, secret, PUBLIC_KEY, public);
  mux_render_json (call->host->out, json);
  json_decref (json);
}

int
mux_verb_keygen (MuxCliCall *call)
{
  char secret[KEY_LEN];
  char public[KEY_LEN];

  if (zmq_curve_keypair (public, secret) != 0)
    {
      fputs ("cuminmux: this build of ZeroMQ has no CURVE support\n",
             call->host->err);
      return MUX_EXIT_REFUSED;
    }
  print_pair (call, secret, public);
  return MUX_EXIT_OK;
}
