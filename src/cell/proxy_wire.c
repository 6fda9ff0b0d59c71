#include "cell_private.h"
#include "token.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Proxied calls to workers and their replies as sent between daemons: msgpack
 * arrays with the fields in the order of the enums below, as there are
 * thousands a second.
 *
 * The previous protocol cuts checkpoints and proofs. So a call with a text that
 * is not short has one more field, which the previous protocol rejects whole. A
 * planner marks its renewals, see RENEW_MARK, and only the reply to a marked
 * one has texts that are not short, and one more field, the number of ends
 * listed. In a reply without that field a text that is not short may be a cut
 * one.
 */

enum
{
  CALL_VERB,
  CALL_TIMEOUT,
  CALL_ADDR,
  CALL_WORKER,
  CALL_TASK,
  CALL_RUN = CALL_TASK + 4,
  CALL_FENCE,
  CALL_LEASE,
  CALL_ACKED,
  CALL_WAIT, /* of a PACE: its percentage */
  CALL_CHECKPOINT,
  CALL_PROOF,
  CALL_PAYLOAD,
  CALL_FIELDS,
  CALL_WHOLE_FIELDS = CALL_FIELDS + 1
};

enum
{
  REPLY_VERB,
  REPLY_STATUS,
  REPLY_CLOCK,
  REPLY_STARTED,
  REPLY_REPORTS,
  REPLY_FIELDS,
  REPLY_END_COUNT = REPLY_FIELDS,
  REPLY_WHOLE_FIELDS
};

enum
{
  REPORT_TASK,
  REPORT_RUN = REPORT_TASK + 4,
  REPORT_PERCENT,
  REPORT_USAGE,
  REPORT_NUMBER,
  REPORT_END,
  REPORT_CHECKPOINT,
  REPORT_FIELDS
};

/* In a renewal's field for a proof, which it has no other use for: the reply
 * may have texts that are not short. */
#define RENEW_MARK "whole"
/* Value of a call's additional field. */
#define WHOLE_FORMAT 1

/* Each write may fail for lack of memory; @failed collects the results, and
 * is checked at the end. */
typedef struct
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  int failed;
} Writer;

static void
writer_begin (Writer *writer)
{
  msgpack_sbuffer_init (&writer->buffer);
  msgpack_packer_init (&writer->packer, &writer->buffer, msgpack_sbuffer_write);
  writer->failed = 0;
}

/* Return: the bytes written; NULL: out of memory. */
static MuxBlob *
writer_end (Writer *writer)
{
  MuxBlob *blob = writer->failed == 0
                      ? mux_blob_new (writer->buffer.data, writer->buffer.size)
                      : NULL;

  msgpack_sbuffer_destroy (&writer->buffer);
  return blob;
}

static void
put_array (Writer *writer, size_t count)
{
  writer->failed |= msgpack_pack_array (&writer->packer, count);
}

static void
put_number (Writer *writer, int64_t value)
{
  writer->failed |= msgpack_pack_int64 (&writer->packer, value);
}

static void
put_bytes (Writer *writer, const char *bytes, size_t len)
{
  writer->failed |= msgpack_pack_bin_with_body (&writer->packer, bytes, len);
}

static void
put_text (Writer *writer, const char *text)
{
  put_bytes (writer, text, strlen (text));
}

static void
put_token (Writer *writer, const MuxBlob *token)
{
  if (token != NULL)
    put_bytes (writer, token->bytes, token->len);
  else
    put_text (writer, "");
}

static void
put_task (Writer *writer, const MuxTaskRef *task)
{
  put_text (writer, task->job);
  put_number (writer, task->occurrence);
  put_number (writer, task->step);
  put_number (writer, task->index);
}

/* Fields of an array that was received.  @ok tells whether all that were read
 * so far are of their types and ranges. */
typedef struct
{
  const msgpack_object *list;
  bool ok;
} Reader;

/* Return: 0 unless it is a number from @min to @max. */
static int64_t
number_at (Reader *reader, uint32_t i, int64_t min, int64_t max)
{
  const msgpack_object *item = &reader->list->via.array.ptr[i];
  bool is_number = item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER
                   || (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER
                       && item->via.u64 <= INT64_MAX);

  if (is_number && item->via.i64 >= min && item->via.i64 <= max)
    return item->via.i64;
  reader->ok = false;
  return 0;
}

static uint32_t
u32_at (Reader *reader, uint32_t i)
{
  return (uint32_t) number_at (reader, i, 0, UINT32_MAX);
}

static uint64_t
u63_at (Reader *reader, uint32_t i)
{
  return (uint64_t) number_at (reader, i, 0, INT64_MAX);
}

static void
text_at (Reader *reader, uint32_t i, char *text, size_t size)
{
  const msgpack_object *item = &reader->list->via.array.ptr[i];

  text[0] = 0;
  if (item->type != MSGPACK_OBJECT_BIN || item->via.bin.size >= size)
    {
      reader->ok = false;
      return;
    }
  memcpy (text, item->via.bin.ptr, item->via.bin.size);
  text[item->via.bin.size] = 0;
}

/* Return: NULL for an empty text. */
static MuxBlob *
token_at (Reader *reader, uint32_t i)
{
  const msgpack_object *item = &reader->list->via.array.ptr[i];

  if (item->type == MSGPACK_OBJECT_BIN)
    return item->via.bin.size > 0
               ? mux_blob_new (item->via.bin.ptr, item->via.bin.size)
               : NULL;
  reader->ok = false;
  return NULL;
}

static void
task_at (Reader *reader, uint32_t i, MuxTaskRef *task)
{
  text_at (reader, i, task->job, sizeof task->job);
  task->occurrence = u32_at (reader, i + 1);
  task->step = u32_at (reader, i + 2);
  task->index = u32_at (reader, i + 3);
}

static bool
is_array (const msgpack_object *object, uint32_t fields)
{
  return object->type == MSGPACK_OBJECT_ARRAY
         && object->via.array.size == fields;
}

bool
cell_proxied_call_is_short (const MuxCellCall *call)
{
  return cell_token_is_short (call->checkpoint)
         && cell_token_is_short (call->proof);
}

bool
cell_proxied_call_takes_whole (const MuxCellCall *call)
{
  return call->verb == MUX_CELL_RENEW && call->proof != NULL
         && strcmp (call->proof->bytes, RENEW_MARK) == 0;
}

MuxBlob *
cell_proxied_call_encode (const MuxCellCall *call)
{
  Writer writer;
  bool whole = !cell_proxied_call_is_short (call);

  writer_begin (&writer);
  put_array (&writer, whole ? CALL_WHOLE_FIELDS : CALL_FIELDS);
  put_number (&writer, call->verb);
  put_number (&writer, call->timeout_ms);
  put_text (&writer, call->addr);
  put_text (&writer, call->worker);
  put_task (&writer, &call->task);
  put_number (&writer, call->run);
  put_number (&writer, (int64_t) call->fence);
  put_number (&writer, call->lease_expires_ms);
  put_number (&writer, (int64_t) call->acked);
  put_number (&writer,
              call->verb == MUX_CELL_PACE ? call->percent : call->wait_ms);
  put_token (&writer, call->checkpoint);
  if (call->verb == MUX_CELL_RENEW)
    put_text (&writer, RENEW_MARK);
  else
    put_token (&writer, call->proof);
  put_token (&writer, call->payload);
  if (whole)
    put_number (&writer, WHOLE_FORMAT);
  return writer_end (&writer);
}

static MuxCellCall *
read_call (Reader *reader)
{
  const msgpack_object *payload = &reader->list->via.array.ptr[CALL_PAYLOAD];
  int64_t verb = number_at (reader, CALL_VERB, 0, MUX_CELL_PACE);
  MuxCellCall *call;

  if (payload->type != MSGPACK_OBJECT_BIN
      || (verb != MUX_CELL_START && verb != MUX_CELL_STOP
          && verb != MUX_CELL_PACE && verb != MUX_CELL_RENEW))
    return NULL;
  call = mux_cell_call_new ((MuxCellVerb) verb);
  if (call == NULL)
    return NULL;
  call->timeout_ms = u32_at (reader, CALL_TIMEOUT);
  text_at (reader, CALL_ADDR, call->addr, sizeof call->addr);
  text_at (reader, CALL_WORKER, call->worker, sizeof call->worker);
  task_at (reader, CALL_TASK, &call->task);
  call->run = u32_at (reader, CALL_RUN);
  call->fence = u63_at (reader, CALL_FENCE);
  call->lease_expires_ms = number_at (reader, CALL_LEASE, INT64_MIN, INT64_MAX);
  call->acked = u63_at (reader, CALL_ACKED);
  if (verb == MUX_CELL_PACE)
    call->percent = u32_at (reader, CALL_WAIT);
  else
    call->wait_ms = u32_at (reader, CALL_WAIT);
  call->checkpoint = token_at (reader, CALL_CHECKPOINT);
  call->proof = token_at (reader, CALL_PROOF);
  call->payload = mux_blob_new (payload->via.bin.ptr, payload->via.bin.size);
  if (reader->ok && call->payload != NULL && call->addr[0] != 0)
    return call;
  mux_cell_call_free (call);
  return NULL;
}

static bool
has_fields (const msgpack_object *list, uint32_t fields, bool *whole)
{
  *whole = is_array (list, fields + 1);
  return *whole || is_array (list, fields);
}

/* Another version of the program writes arrays of another length.
 * @whole: set to whether the array has the additional field */
static bool
unpack (msgpack_unpacked *unpacked,
        const MuxBlob *blob,
        uint32_t fields,
        bool *whole)
{
  msgpack_unpacked_init (unpacked);
  return blob != NULL && cell_msgpack_heads_valid (blob)
         && msgpack_unpack_next (unpacked, blob->bytes, blob->len, NULL)
                == MSGPACK_UNPACK_SUCCESS
         && has_fields (&unpacked->data, fields, whole);
}

MuxCellCall *
cell_proxied_call_decode (const MuxBlob *blob)
{
  MuxCellCall *call = NULL;
  msgpack_unpacked unpacked;
  Reader reader = { .list = &unpacked.data, .ok = true };
  bool whole;

  if (unpack (&unpacked, blob, CALL_FIELDS, &whole)
      && (!whole
          || number_at (&reader, CALL_FIELDS, WHOLE_FORMAT, WHOLE_FORMAT) != 0))
    call = read_call (&reader);
  msgpack_unpacked_destroy (&unpacked);
  return call;
}

static void
put_report (Writer *writer, const MuxRunReport *report, bool whole)
{
  put_array (writer, REPORT_FIELDS);
  put_task (writer, &report->task);
  put_number (writer, report->run);
  put_number (writer, report->percent);
  put_number (writer, report->usage);
  put_number (writer, (int64_t) report->end_number);
  put_number (writer, report->end);
  put_token (writer, whole || cell_token_is_short (report->checkpoint)
                         ? report->checkpoint
                         : NULL);
}

/* Return: false: a field is not of its type or range. */
static bool
read_report (const msgpack_object *list, MuxRunReport *report, bool whole)
{
  Reader reader = { .list = list, .ok = true };
  int64_t end = number_at (&reader, REPORT_END, INT64_MIN, INT64_MAX);

  task_at (&reader, REPORT_TASK, &report->task);
  report->run = u32_at (&reader, REPORT_RUN);
  report->percent = u32_at (&reader, REPORT_PERCENT);
  report->usage = u32_at (&reader, REPORT_USAGE);
  report->end_number = u63_at (&reader, REPORT_NUMBER);
  report->end = end >= 0 && end <= MUX_RUN_GANG_INCOMPLETE
                    ? (MuxRunEnd) end
                    : MUX_RUN_LEASE_EXPIRED;
  report->checkpoint = token_at (&reader, REPORT_CHECKPOINT);
  if (!whole && !cell_token_is_short (report->checkpoint))
    {
      mux_blob_unref (report->checkpoint);
      report->checkpoint = NULL;
    }
  return reader.ok;
}

MuxBlob *
cell_proxied_reply_encode (const MuxCellReply *reply, bool whole)
{
  Writer writer;

  writer_begin (&writer);
  put_array (&writer, whole ? REPLY_WHOLE_FIELDS : REPLY_FIELDS);
  put_number (&writer, reply->verb);
  put_number (&writer, reply->status);
  put_number (&writer, reply->worker_clock_ms);
  put_number (&writer, (int64_t) reply->worker_started_ms);
  put_array (&writer, reply->report_count);
  for (uint32_t i = 0; i < reply->report_count; i++)
    put_report (&writer, &reply->report[i], whole);
  if (whole)
    put_number (&writer, reply->end_count);
  return writer_end (&writer);
}

static bool
read_reports (const msgpack_object *list, MuxCellReply *reply, bool whole)
{
  if (list->type != MSGPACK_OBJECT_ARRAY)
    return false;
  reply->report = calloc (list->via.array.size + 1, sizeof *reply->report);
  if (reply->report == NULL)
    return false;
  for (uint32_t i = 0; i < list->via.array.size; i++)
    {
      if (!is_array (&list->via.array.ptr[i], REPORT_FIELDS))
        return false;
      reply->report_count++;
      if (!read_report (&list->via.array.ptr[i], &reply->report[i], whole))
        return false;
      reply->end_count += reply->report[i].end_number != 0;
    }
  return true;
}

static MuxCellReply *
read_reply (const msgpack_object *list, uint64_t call_id, bool whole)
{
  Reader reader = { .list = list, .ok = true };
  MuxCellCall call = { .verb = (MuxCellVerb) number_at (&reader, REPLY_VERB, 0,
                                                        MUX_CELL_PACE),
                       .call_id = call_id };
  int64_t status = number_at (&reader, REPLY_STATUS, 0, MUX_CELL_BAD_REQUEST);
  MuxCellReply *reply = mux_cell_reply_new (&call, (MuxCellStatus) status);

  if (reply == NULL)
    return NULL;
  reply->worker_clock_ms
      = number_at (&reader, REPLY_CLOCK, INT64_MIN, INT64_MAX);
  reply->worker_started_ms = u63_at (&reader, REPLY_STARTED);
  reader.ok = read_reports (&list->via.array.ptr[REPLY_REPORTS], reply, whole)
              && reader.ok;
  if (whole)
    reply->end_count = u32_at (&reader, REPLY_END_COUNT);
  if (reader.ok)
    return reply;
  mux_cell_reply_free (reply);
  return NULL;
}

MuxCellReply *
cell_proxied_reply_decode (const MuxBlob *blob, uint64_t call_id, bool *whole)
{
  MuxCellReply *reply = NULL;
  msgpack_unpacked unpacked;

  if (unpack (&unpacked, blob, REPLY_FIELDS, whole))
    reply = read_reply (&unpacked.data, call_id, *whole);
  msgpack_unpacked_destroy (&unpacked);
  return reply;
}
