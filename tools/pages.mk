# The generated tables of docs/OPERATIONS.md.
.PHONY: pages check-pages
pages: $(B)/cuminmuxd
	tools/pages $<
check-pages: $(B)/cuminmuxd
	tools/pages $< --check
