#ifndef SUPPORT_TEST_H
#define SUPPORT_TEST_H

/* What cmocka wants before it, and what most tests use besides. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#endif
