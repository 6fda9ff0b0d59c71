/* Given to clang-tidy in front of each file.  The analyzer does not know that
 * an element whose "prev" is not NULL is not the head of its uthash table, and
 * so reports loops that delete and free elements as uses after free or of a
 * NULL head.  Here a deletion is a call that it can't see into; what our code
 * does with the element, before and after, is checked as ever, and the
 * sanitizers run uthash as it is. */
#ifndef LINT_H
#define LINT_H

#include <uthash.h>

void *lint_hash_delete (void *head, void *element);
#undef HASH_DELETE
#define HASH_DELETE(hh, head, element) \
  ((head) = lint_hash_delete ((head), (element)))

#endif
