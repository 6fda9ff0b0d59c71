#include "cell/cancel_age.h"

#define US_PER_MS 1000
/* Delays that the mean is over: some tens of ms of a large cell's replies, 16 s
 * of those of a single worker. */
#define WINDOW 16
/* After this long without a delay the earlier ones no longer count. */
#define EXPIRY_MS 1500
/* As in the retransmission time-out of TCP (RFC 6298). */
#define DEVIATIONS 4
/* Least values assumed: a loaded store's reply takes up to 100 ms, an order
 * through a proxy some 30 ms. */
#define FEED_MIN_MS 100
#define ORDER_MIN_MS 50
/* Kept free for what is not known: steps of the event loop, clock drift and
 * delays that grow until the stop. While the store is silent a feed's reply is
 * expected within 600 ms: starts are held back from an age of 3,050 ms on, no
 * sooner than all placing stops for want of the list of workers, at 3 s. */
#define SPARE_MS 300

static int64_t
clamp (int64_t value, int64_t least, int64_t most)
{
  if (value < least)
    return least;
  return value > most ? most : value;
}

void
mux_delay_add (MuxDelay *delay,
               int64_t now_ms,
               int64_t least_ms,
               int64_t most_ms)
{
  int64_t least_us = (least_ms > 0 ? least_ms : 0) * US_PER_MS;
  int64_t most_us = (most_ms > 0 ? most_ms : 0) * US_PER_MS;
  int64_t took_us;
  int64_t off_us;

  if (now_ms - delay->observed_ms > EXPIRY_MS)
    *delay = (MuxDelay){ .count = 0 };
  took_us = clamp (delay->mean_us, least_us, most_us);
  off_us = took_us - delay->mean_us;
  delay->observed_ms = now_ms;
  if (delay->count < WINDOW)
    delay->count++;
  if (delay->count == 1)
    {
      delay->mean_us = took_us;
      delay->deviation_us = 0;
      return;
    }
  delay->mean_us += off_us / (int64_t) delay->count;
  delay->deviation_us += ((off_us < 0 ? -off_us : off_us) - delay->deviation_us)
                         / (int64_t) delay->count;
}

int64_t
mux_delay_ms (const MuxDelay *delay)
{
  return (delay->mean_us + DEVIATIONS * delay->deviation_us) / US_PER_MS;
}

int64_t
mux_cancel_stop_ms (const MuxCancelAge *known)
{
  int64_t feed_ms = known->feed_ms > FEED_MIN_MS ? known->feed_ms : FEED_MIN_MS;
  int64_t order_ms
      = known->order_ms > ORDER_MIN_MS ? known->order_ms : ORDER_MIN_MS;

  return known->age_ms + feed_ms + order_ms + SPARE_MS;
}

bool
mux_cancel_allows_start (const MuxCancelAge *known)
{
  return mux_cancel_stop_ms (known) <= MUX_CANCEL_BOUND_MS;
}
