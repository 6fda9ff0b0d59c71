# What each worker, task, class, member, start and change costs: the slopes
# that docs/CAPACITY.md is worked out from.
SLOPES = $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/slopes_*.c))

.PHONY: slopes slopes-programs
slopes-programs: $(SLOPES)
slopes: all slopes-programs
	@set -e; for s in $(SLOPES); do $$s; done
