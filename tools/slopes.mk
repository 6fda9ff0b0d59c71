# What each worker, task, class, member, start and change costs: the slopes
# that docs/CAPACITY.md is worked out from.
SLOPES = $(patsubst test/bench/%.c,$(B)/bench/%,$(wildcard test/bench/slopes_*.c))

.PHONY: slopes slopes-programs
slopes-programs: $(SLOPES)
slopes: all slopes-programs
	@set -e; for s in $(SLOPES); do $$s; done
