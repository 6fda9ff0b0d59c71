#ifndef SUPPORT_PROCESS_BOUNDS_H
#define SUPPORT_PROCESS_BOUNDS_H

#include <stdint.h>

#define PROCESS_ADDRS_MAX 4

/**
 * struct ProcessBounds - what a process may hold, and the most that it held
 * @pid: the process
 * @addrs: "ip:port" of the IPv4 addresses that it listens on; NULL ends them
 * @memory_mib: bound of its resident memory, and of that with what its sockets
 *   hold unread; not checked under sanitizers, whose memory is no part of it
 * @descriptors_max: bound of its open descriptors
 * @resident_kib: resident memory when it was the most with the unread bytes
 * @unread_kib: bytes received and not read, then
 * @peak_kib: peak of the resident memory
 * @descriptors: most open descriptors seen
 */
typedef struct
{
  int pid;
  const char *addrs[PROCESS_ADDRS_MAX];
  uint32_t memory_mib;
  uint32_t descriptors_max;
  uint64_t resident_kib;
  uint64_t unread_kib;
  uint64_t peak_kib;
  uint32_t descriptors;
} ProcessBounds;

/** process_bounds_watch() - read what the process holds
 * @bounds: a ProcessBounds */
void process_bounds_watch (void *bounds);
/** process_bounds_check() - fail the test if a bound was exceeded */
void process_bounds_check (ProcessBounds *bounds);

#endif
