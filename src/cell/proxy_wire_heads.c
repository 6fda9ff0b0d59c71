#include "cell_private.h"

/* Checks the bytes of a message before the library unpacks it. */

/* Size of a number with the given head byte; 0: not a number written here. */
static size_t
number_bytes (unsigned char head)
{
  if (head <= 0x7f || head >= 0xe0)
    return 1;
  if (head >= 0xcc && head <= 0xcf)
    return 1 + ((size_t) 1 << (head - 0xcc));
  if (head >= 0xd0 && head <= 0xd3)
    return 1 + ((size_t) 1 << (head - 0xd0));
  return 0;
}

static uint64_t
big_endian (const unsigned char *bytes, size_t count)
{
  uint64_t value = 0;

  for (size_t i = 0; i < count; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Size of the item at @at, for an array that of its head alone; 0: it is of a
 * type not written here, or longer than @left. */
static size_t
item_bytes (const unsigned char *at, size_t left)
{
  size_t number = number_bytes (at[0]);
  size_t width;

  if (number != 0)
    return number <= left ? number : 0;
  if ((at[0] & 0xf0) == 0x90)
    return (at[0] & 0x0fU) < left ? 1 : 0;
  if (at[0] == 0xdc)
    return left >= 3 && big_endian (at + 1, 2) <= left - 3 ? 3 : 0;
  if (at[0] < 0xc4 || at[0] > 0xc6)
    return 0;
  width = (size_t) 1 << (at[0] - 0xc4);
  if (left < 1 + width || big_endian (at + 1, width) > left - 1 - width)
    return 0;
  return 1 + width + (size_t) big_endian (at + 1, width);
}

/*
 * The library allocates space for as many items as an array's head names
 * before it reads them: 128 GB for nine bytes, and the daemon runs out of
 * memory. Each item takes a byte at least, so no head may name more items than
 * bytes are left.
 */
bool
cell_msgpack_heads_valid (const MuxBlob *blob)
{
  const unsigned char *bytes = (const unsigned char *) blob->bytes;
  size_t at = 0;

  while (at < blob->len)
    {
      size_t item = item_bytes (bytes + at, blob->len - at);

      if (item == 0)
        return false;
      at += item;
    }
  return true;
}
