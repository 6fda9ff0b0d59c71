.PHONY: deps
deps:
	sh tools/deps
