#ifndef BASE_LOG_H
#define BASE_LOG_H

/**
 * enum MuxLogLevel - log levels; values are the syslog severities
 */
typedef enum
{
  MUX_LOG_ERR = 3,
  MUX_LOG_WARNING = 4,
  MUX_LOG_NOTICE = 5,
  MUX_LOG_INFO = 6,
} MuxLogLevel;

/** mux_log_open() - set the program name and the highest level that is logged
 */
void mux_log_open (const char *program, MuxLogLevel max);

/**
 * mux_log() - write one line to standard error
 * @level: ignored if above the level given to mux_log_open()
 * @event: name of the event, such as "claim_won"
 * @format: printf format of the "key=value" fields
 *
 * The line is "<priority> program[pid]: event key=value ...".  A longer line
 * than 511 bytes is truncated.
 */
void mux_log (MuxLogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
