#ifndef SUPPORT_TEST_H
#define SUPPORT_TEST_H

/* cmocka with the headers that it needs, and those that most tests use. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#endif
