# Every promise of the users' list, played on whole cores over fakes: a line
# "proof <id> pass|fail" each.
.PHONY: proofs
proofs: proof-programs
	@bad=0; for p in $(PROOF); do \
	  $$p >$$p.log 2>&1 || bad=1; \
	  grep -E '^(proof |# |seed |[0-9]+ seeds)' $$p.log || true; \
	done; exit $$bad
