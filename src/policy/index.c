#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define WORD_BITS 64u
/* Scan budget of a search for a worker that also keeps the class spread over
 * racks and has not recently failed it.  After that, the best fit is taken. */
#define SCAN_MAX 256u

static uint32_t
words_for (uint32_t n)
{
  return (n + WORD_BITS - 1) / WORD_BITS;
}

static bool
bits_grow (MuxBits *bits, uint32_t old_words, uint32_t words)
{
  uint32_t total = words + words_for (words);
  uint64_t *word = calloc (total, sizeof *word);

  if (word == NULL)
    return false;
  if (bits->word != NULL)
    {
      memcpy (word, bits->word, old_words * sizeof *word);
      memcpy (word + words, bits->summary,
              words_for (old_words) * sizeof *word);
    }
  free (bits->word);
  bits->word = word;
  bits->summary = word + words;
  return true;
}

bool
mux_bits_test (const MuxBits *bits, uint32_t i)
{
  return bits->word[i / WORD_BITS] >> (i % WORD_BITS) & 1;
}

static void
bits_set (MuxBits *bits, uint32_t i, bool on)
{
  uint32_t k = i / WORD_BITS;
  uint64_t bit = UINT64_C (1) << (i % WORD_BITS);

  if ((bits->word[k] & bit ? true : false) == on)
    return;
  bits->word[k] ^= bit;
  bits->count = on ? bits->count + 1 : bits->count - 1;
  if (bits->word[k] != 0)
    bits->summary[k / WORD_BITS] |= UINT64_C (1) << (k % WORD_BITS);
  else
    bits->summary[k / WORD_BITS] &= ~(UINT64_C (1) << (k % WORD_BITS));
}

bool
mux_index_grow (MuxSched *sched, uint32_t workers)
{
  MuxIndex *index = &sched->index;
  uint32_t words = words_for (workers);

  if (words <= index->words)
    return true;
  for (uint32_t i = 0; i < MUX_LEVELS; i++)
    if (!bits_grow (&index->level[i], index->words, words))
      return false;
  for (uint32_t i = 0; i < index->shapes; i++)
    if (index->shape[i].refs > 0
        && !bits_grow (&index->shape[i].fits, index->words, words))
      return false;
  if (!bits_grow (&index->reserved, index->words, words))
    return false;
  index->words = words;
  return true;
}

void
mux_index_clear (MuxIndex *index)
{
  for (uint32_t i = 0; i < MUX_LEVELS; i++)
    free (index->level[i].word);
  for (uint32_t i = 0; i < index->shapes; i++)
    free (index->shape[i].fits.word);
  free (index->reserved.word);
  free (index->shape);
}

static bool
accepts_work (const MuxWorker *worker)
{
  return worker->present && worker->usable
         && worker->breaker.state == MUX_BREAKER_CLOSED;
}

/* Level of free room: mean share of free room over the dimensions that the
 * worker has.  Taking the lowest level that fits packs workers, and idle ones,
 * which are in a level of their own, are used last. */
static uint32_t
level_of (const MuxWorker *worker, bool first_fit)
{
  uint64_t sum = 0;
  uint32_t n = 0;

  if (first_fit)
    return 0;
  if (worker->tasks.count == 0)
    return MUX_LEVELS - 1;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint32_t cap = mux_size_dim (worker->capacity, d);

      if (cap == 0)
        continue;
      sum += (uint64_t) mux_size_dim (worker->free, d) * 1024 / cap;
      n++;
    }
  return n == 0 ? 0 : (uint32_t) (sum * (MUX_LEVELS - 2) / n / 1024);
}

void
mux_index_update (MuxSched *sched, uint32_t w)
{
  MuxWorker *worker = &sched->worker[w];
  MuxIndex *index = &sched->index;
  bool open = accepts_work (worker);
  uint32_t level = open ? level_of (worker, sched->tuning.first_fit) : MUX_NONE;

  if (level != worker->level)
    {
      if (worker->level != MUX_NONE)
        bits_set (&index->level[worker->level], w, false);
      if (level != MUX_NONE)
        bits_set (&index->level[level], w, true);
      worker->level = level;
    }
  mux_reserve_update_worker (sched, w);
  for (uint32_t i = 0; i < index->shapes; i++)
    if (index->shape[i].refs > 0)
      bits_set (&index->shape[i].fits, w,
                open && mux_fits (index->shape[i].size, worker->free));
}

static bool
size_equal (MuxSize a, MuxSize b)
{
  return a.cpu_milli == b.cpu_milli && a.mem_mib == b.mem_mib
         && a.accels == b.accels && a.slots == b.slots;
}

static uint32_t
shape_slot (MuxIndex *index)
{
  for (uint32_t i = 0; i < index->shapes; i++)
    if (index->shape[i].refs == 0)
      return i;
  if (index->shapes == index->shapes_allocated)
    {
      uint32_t allocated
          = index->shapes_allocated < 16 ? 16 : index->shapes_allocated * 2;
      MuxShape *shape = realloc (index->shape, allocated * sizeof *shape);

      if (shape == NULL)
        return MUX_NONE;
      index->shape = shape;
      index->shapes_allocated = allocated;
    }
  index->shape[index->shapes] = (MuxShape){ 0 };
  return index->shapes++;
}

uint32_t
mux_index_shape_ref (MuxSched *sched, MuxSize size)
{
  MuxIndex *index = &sched->index;

  for (uint32_t i = 0; i < index->shapes; i++)
    if (index->shape[i].refs > 0 && size_equal (index->shape[i].size, size))
      {
        index->shape[i].refs++;
        return i;
      }

  uint32_t s = shape_slot (index);

  if (s == MUX_NONE)
    return MUX_NONE;

  MuxShape *shape = &index->shape[s];

  free (shape->fits.word);
  shape->fits = (MuxBits){ 0 };
  if (!bits_grow (&shape->fits, 0, index->words))
    return MUX_NONE;
  shape->size = size;
  shape->refs = 1;
  for (uint32_t w = 0; w < sched->workers; w++)
    bits_set (&shape->fits, w,
              accepts_work (&sched->worker[w])
                  && mux_fits (size, sched->worker[w].free));
  return s;
}

void
mux_index_shape_unref (MuxSched *sched, uint32_t shape)
{
  sched->index.shape[shape].refs--;
}

/**
 * struct Search - state of a search
 * @skip_reserved: workers of the reservation may not be taken
 * @rack_limit: tasks of the class booked in a rack at which the rack is
 *   skipped; 0: none
 * @scanned: workers that fit but were passed over
 * @fallback: the first of them, or MUX_NONE
 */
typedef struct
{
  const MuxSched *sched;
  const MuxWorkerQuery *query;
  bool skip_reserved;
  uint32_t rack_limit;
  uint32_t scanned;
  uint32_t fallback;
} Search;

static bool
suits (const Search *search, uint32_t w)
{
  const MuxClass *class = search->query->class;
  const MuxWorker *worker = &search->sched->worker[w];

  if (search->rack_limit > 0 && class->rack_count != NULL
      && class->rack_count[worker->rack->id] >= search->rack_limit)
    return false;
  return !mux_breaker_avoids (search->sched, class, w, search->query->now_ms);
}

/* Workers of word @k of @level where the class fits and that may be taken. */
static uint64_t
candidates (const Search *search, const MuxBits *level, uint32_t k)
{
  const MuxIndex *index = &search->sched->index;
  uint64_t word
      = level->word[k] & index->shape[search->query->class->shape].fits.word[k];

  if (search->skip_reserved)
    word &= ~index->reserved.word[k];
  if (search->query->avoid / WORD_BITS == k)
    word &= ~(UINT64_C (1) << (search->query->avoid % WORD_BITS));
  return word;
}

static uint32_t
search_level (Search *search, const MuxBits *level)
{
  const MuxIndex *index = &search->sched->index;
  const MuxBits *fits = &index->shape[search->query->class->shape].fits;

  for (uint32_t s = 0; s < words_for (index->words); s++)
    for (uint64_t sum = level->summary[s] & fits->summary[s]; sum != 0;
         sum &= sum - 1)
      {
        uint32_t k = s * WORD_BITS + (uint32_t) __builtin_ctzll (sum);

        for (uint64_t word = candidates (search, level, k); word != 0;
             word &= word - 1)
          {
            uint32_t w = k * WORD_BITS + (uint32_t) __builtin_ctzll (word);

            if (suits (search, w))
              return w;
            if (search->fallback == MUX_NONE)
              search->fallback = w;
            if (++search->scanned >= SCAN_MAX)
              return search->fallback;
          }
      }
  return MUX_NONE;
}

/* Long-running tasks are spread evenly, so that the failure of a rack loses
 * only its share.  Of requests a rack may have up to about twice its share,
 * which leaves freedom for packing. */
static uint32_t
rack_limit (const MuxSched *sched, const MuxClass *class)
{
  uint32_t racks = sched->racks > 0 ? sched->racks : 1;

  if (sched->tuning.no_rack_spread)
    return 0;
  if (class->spec.kind == MUX_KIND_LONG_RUNNING)
    return 1 + class->booked / racks;
  return class->spec.kind == MUX_KIND_SERVICE ? 2 + 2 * class->booked / racks
                                              : 0;
}

uint32_t
mux_index_find (const MuxSched *sched, const MuxWorkerQuery *query)
{
  const MuxIndex *index = &sched->index;
  Search search = { .sched = sched,
                    .query = query,
                    .skip_reserved
                    = !query->may_use_reserved && index->reserved.count > 0,
                    .rack_limit = rack_limit (sched, query->class),
                    .fallback = MUX_NONE };

  if (index->shape[query->class->shape].fits.count == 0)
    return MUX_NONE;
  for (uint32_t i = 0; i < MUX_LEVELS; i++)
    {
      if (index->level[i].count == 0)
        continue;

      uint32_t w = search_level (&search, &index->level[i]);

      if (w != MUX_NONE)
        return w;
    }
  return search.fallback;
}

/* How many fewer urgent tasks fit on worker @w with @n more tasks of @size. */
static uint32_t
urgent_loss (const MuxSched *sched, uint32_t w, MuxSize size, uint32_t n)
{
  const MuxWorker *worker = &sched->worker[w];
  MuxSize left = worker->free;

  if (worker->urgent_room == 0)
    return 0;
  left.cpu_milli -= size.cpu_milli * n;
  left.mem_mib -= size.mem_mib * n;
  left.accels -= size.accels * n;
  left.slots -= size.slots * n;
  return worker->urgent_room - mux_size_fit_count (sched->urgent_size, left);
}

bool
mux_index_fits_together (const MuxSched *sched,
                         const MuxWorkerQuery *query,
                         uint32_t n,
                         uint64_t *loss)
{
  const MuxIndex *index = &sched->index;
  const MuxShape *shape = &index->shape[query->class->shape];
  uint32_t unplaced = n;

  *loss = 0;
  for (uint32_t k = 0; k < index->words && unplaced > 0; k++)
    {
      uint64_t word = shape->fits.word[k];

      if (!query->may_use_reserved)
        word &= ~index->reserved.word[k];
      for (; word != 0 && unplaced > 0; word &= word - 1)
        {
          uint32_t w = k * WORD_BITS + (uint32_t) __builtin_ctzll (word);
          uint32_t times
              = mux_size_fit_count (shape->size, sched->worker[w].free);

          times = times < unplaced ? times : unplaced;
          unplaced -= times;
          *loss += urgent_loss (sched, w, shape->size, times);
        }
    }
  return unplaced == 0;
}

void
mux_index_set_reserved (MuxSched *sched, uint32_t w, bool held)
{
  sched->worker[w].reserved = held;
  bits_set (&sched->index.reserved, w, held);
}

uint32_t
mux_index_emptiest (const MuxSched *sched,
                    const MuxClass *class,
                    uint64_t n,
                    uint32_t *out,
                    uint32_t cap)
{
  const MuxIndex *index = &sched->index;
  uint64_t together = 0;
  uint32_t count = 0;

  for (uint32_t i = MUX_LEVELS; i-- > 0;)
    for (uint32_t k = 0; k < index->words && index->level[i].count > 0; k++)
      for (uint64_t word = index->level[i].word[k]; word != 0; word &= word - 1)
        {
          uint32_t w = k * WORD_BITS + (uint32_t) __builtin_ctzll (word);
          uint32_t times
              = mux_size_fit_count (class->size, sched->worker[w].capacity);

          if (times == 0)
            continue;
          if (count == cap || together >= n)
            return count;
          out[count++] = w;
          together += times;
        }
  return count;
}
