#ifndef BASE_LOG_H
#define BASE_LOG_H

/**
 * enum MuxLogLevel - syslog severities in use, with syslog's numbers
 */
typedef enum
{
  MUX_LOG_ERR = 3,
  MUX_LOG_WARNING = 4,
  MUX_LOG_NOTICE = 5,
  MUX_LOG_INFO = 6,
} MuxLogLevel;

/** mux_log_open() - set the program name and the highest level printed */
void mux_log_open (const char *program, MuxLogLevel max);

/**
 * mux_log() - one line on standard error: <priority> program[pid]: event k=v
 * @event: fixed word for the change of state, such as "claim_won"
 * @format: the "key=value" pairs
 */
void mux_log (MuxLogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
