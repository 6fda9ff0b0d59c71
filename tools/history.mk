# A seeded run under faults, judged by the history checker.
SEED ?= 1
SECONDS ?= 20
.PHONY: history bench-failover
history: deps
	@tools/step build $(SUB) VARIANT=release all
	build/release/history $(SEED) $(SECONDS)

# Prints "name value unit" for each measure.
bench-failover: deps
	@tools/step build $(SUB) VARIANT=release all
	build/release/failover
