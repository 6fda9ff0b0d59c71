# The daemons as processes under faults from outside, what callers and workers
# see held against the promises: one seed, seeds in a row, and the short run of
# CI.
FIRST ?= 1
COUNT ?= 50
SHORT_SECONDS = 8
.PHONY: soak soak-seeds soak-short
soak: deps
	@tools/step build $(SUB) VARIANT=release all
	build/release/soak $(SEED) $(SECONDS)

soak-seeds: deps
	@tools/step build $(SUB) VARIANT=release all
	tools/soak-seeds $(FIRST) $(COUNT) $(SECONDS)

soak-short:
	@tools/soak-short $(SHORT_SECONDS)
