.PHONY: demo
demo: deps
	@tools/step build $(SUB) VARIANT=release all
	build/release/demo
