#ifndef SUPPORT_PROCESS_USAGE_H
#define SUPPORT_PROCESS_USAGE_H

#include <stdint.h>

/**
 * struct ProcessUsage - what a process holds
 * @resident_kib: resident memory
 * @peak_kib: its peak so far
 * @unread_kib: bytes received on its listening ports and not read yet
 * @descriptors: open descriptors
 */
typedef struct
{
  uint64_t resident_kib;
  uint64_t peak_kib;
  uint64_t unread_kib;
  uint32_t descriptors;
} ProcessUsage;

/** process_usage_read() - read it from /proc
 * @addrs: "ip:port" of the IPv4 addresses that it listens on
 * Return: zeros when there is no such process. */
ProcessUsage
process_usage_read (int pid, const char *const *addrs, uint32_t addr_count);

#endif
