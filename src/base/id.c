#include "base/id.h"

#include <string.h>
#include <xxhash.h>

bool
mux_id_equal (MuxId a, MuxId b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

bool
mux_id_is_none (MuxId id)
{
  return id.hi == 0 && id.lo == 0;
}

void
mux_id_format (MuxId id, char out[MUX_ID_HEX_LEN])
{
  static const char digits[] = "0123456789abcdef";

  for (int i = 0; i < 16; i++)
    {
      out[15 - i] = digits[(id.hi >> (4 * i)) & 15];
      out[31 - i] = digits[(id.lo >> (4 * i)) & 15];
    }
  out[32] = 0;
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
mux_id_parse (const char *text, MuxId *id)
{
  uint64_t half[2] = { 0, 0 };

  if (text == NULL || strnlen (text, MUX_ID_HEX_LEN) != 32)
    return false;
  for (int i = 0; i < 32; i++)
    {
      int v = hex_value (text[i]);

      if (v < 0)
        return false;
      half[i / 16] = half[i / 16] << 4 | (uint64_t) v;
    }
  id->hi = half[0];
  id->lo = half[1];
  return true;
}

static MuxId
id_of_hash (XXH128_hash_t h)
{
  /* All zero means "no id"; a hash of zero must not yield it. */
  MuxId id = { h.high64, h.low64 };

  if (mux_id_is_none (id))
    id.lo = 1;
  return id;
}

MuxId
mux_id_from_key (const char *class_name, const char *key)
{
  char buf[MUX_NAME_LEN + MUX_KEY_LEN];
  size_t class_len = strnlen (class_name, MUX_NAME_LEN - 1);
  size_t key_len = strnlen (key, MUX_KEY_LEN - 1);

  memcpy (buf, class_name, class_len);
  buf[class_len] = 0;
  memcpy (buf + class_len + 1, key, key_len);
  return id_of_hash (XXH3_128bits (buf, class_len + 1 + key_len));
}

MuxId
mux_id_derive (MuxId whole, uint64_t part)
{
  uint64_t words[3] = { whole.hi, whole.lo, part };

  return id_of_hash (XXH3_128bits (words, sizeof words));
}

uint64_t
mux_hash_name (const char *name, uint64_t seed)
{
  return XXH3_64bits_withSeed (name, strlen (name), seed);
}

bool
mux_name_copy (char dst[MUX_NAME_LEN], const char *src)
{
  size_t len = strnlen (src, MUX_NAME_LEN);
  bool fits = len < MUX_NAME_LEN;

  if (!fits)
    len = MUX_NAME_LEN - 1;
  memmove (dst, src, len);
  memset (dst + len, 0, MUX_NAME_LEN - len);
  return fits;
}

/* Copies the printable ASCII bytes that @text begins with and fills the rest,
 * so that no character of several bytes is cut. */
static void
put_beginning (char *dst, size_t len, const char *text)
{
  size_t i = 0;

  for (; i < len && text[i] > ' ' && text[i] < 0x7f; i++)
    dst[i] = text[i];
  memset (dst + i, '_', len - i);
}

void
mux_name_of_text (char dst[MUX_NAME_LEN], const char *text)
{
  enum
  {
    MARK_AT = MUX_NAME_LEN - MUX_ID_HEX_LEN - 1
  };
  size_t len = strlen (text);

  /* A text of the length of a derived name could be one. */
  if (len < MUX_NAME_LEN - 1)
    {
      (void) mux_name_copy (dst, text);
      return;
    }
  put_beginning (dst, MARK_AT, text);
  dst[MARK_AT] = '~';
  mux_id_format (id_of_hash (XXH3_128bits (text, len)), dst + MARK_AT + 1);
}

bool
mux_name_valid (const char *name)
{
  size_t len = strlen (name);

  if (len == 0 || len >= MUX_NAME_LEN)
    return false;
  return strspn (name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                       "0123456789._-")
         == len;
}
