# `make check` is what CI runs; each step prints its name and its time.
CHECK_JOBS ?= $(shell n=$$(nproc); echo $$(( n > 8 ? 8 : n )))
SOURCES = $(shell find src include platform test bench demo -name '*.[ch]')
LINT_FLAGS = $(CPPFLAGS) -Itest -I. -std=c11 -include tools/lint.h
# Unit tests that run several threads of ours; they run under tsan as well.
TSAN_TESTS = test_question_waiters test_event_log test_ring test_door test_door_input test_inbox \
  test_worker_adapter test_platform_adapter test_platform_cut \
  test_platform_faults test_peer_zmq test_peer_curve test_http_listener
TSAN_PLATFORM = test_http test_http_connections test_http_deadlines test_http_server
TSAN_ENV = TEST_LABEL=tsan TSAN_OPTIONS="suppressions=$(CURDIR)/tools/tsan.supp history_size=7"
STEP = @tools/step
SUB = $(MAKE) --no-print-directory -j$(CHECK_JOBS)

.PHONY: deps check check-format check-tidy check-cppcheck check-layers \
  check-soak check-known-red golden bench

deps:
	sh tools/deps

check: deps
	$(STEP) build $(SUB) all unit proof-programs benches
	$(STEP) format $(SUB) check-format
	$(STEP) layers $(SUB) check-layers
	$(STEP) soak-size $(SUB) check-soak
	$(STEP) known-red $(SUB) check-known-red
	$(STEP) pages $(SUB) check-pages
	$(STEP) clang-tidy $(SUB) check-tidy
	$(STEP) cppcheck $(SUB) check-cppcheck
	$(STEP) build-asan $(SUB) VARIANT=asan unit
	$(STEP) unit-asan env TEST_LABEL=asan TEST_TIMEOUT_S=300 TEST_JOBS=$(CHECK_JOBS) tools/run-tests $(UNIT:build/$(VARIANT)/%=build/asan/%)
	$(STEP) build-tsan $(SUB) VARIANT=tsan $(TSAN_TESTS:%=build/tsan/unit/%) $(TSAN_PLATFORM:%=build/tsan/platform/%)
	$(STEP) unit-tsan env $(TSAN_ENV) tools/run-tests $(TSAN_TESTS:%=build/tsan/unit/%) $(TSAN_PLATFORM:%=build/tsan/platform/%)
	$(STEP) unit env TEST_JOBS=$(CHECK_JOBS) tools/run-tests $(UNIT)
	$(STEP) build-process $(SUB) process-tests
	$(STEP) process env TEST_JOBS=1 TEST_TIMEOUT_S=600 tools/run-tests $(PROCESS)
	$(STEP) proofs tools/run-tests $(PROOF)
	$(STEP) soak $(SUB) soak-short

check-format:
	@clang-format --dry-run -Werror $(SOURCES)

# One process per file, CHECK_JOBS at a time.
check-tidy:
	@find src platform -path platform/test -prune -o -name '*.c' -print0 \
	  | xargs -0 -P $(CHECK_JOBS) -I{} sh -c \
	    'clang-tidy --quiet "{}" -- $(LINT_FLAGS) 2>build/tidy.$$$$ || { cat build/tidy.$$$$; exit 1; }; rm -f build/tidy.$$$$'

check-cppcheck:
	cppcheck --quiet --error-exitcode=1 --std=c11 -j$(CHECK_JOBS) \
	  --enable=warning,performance,portability \
	  --library=tools/cppcheck.cfg \
	  --suppressions-list=tools/cppcheck-suppressions -Iinclude -Itest -I. \
	  -D_GNU_SOURCE src platform test bench demo

check-layers:
	tools/check-layers --self-test
	tools/check-layers .

check-soak:
	tools/check-soak

check-known-red:
	tools/check-known-red --self-test
	tools/check-known-red

GOLDEN = $(filter $(B)/unit/test_golden% $(B)/unit/test_cli%,$(UNIT))
golden: $(GOLDEN)
	@bad=0; for t in $^; do MUX_GOLDEN_WRITE=1 $$t || bad=1; done; exit $$bad

bench: all benches
	@test -n "$(BENCH)" || { echo 'no bench/bench_*.c'; exit 1; }
	@set -e; for b in $(BENCH); do $$b; done
