# Checks the models of the at-most-once path, of the takeover, of the record of
# workers, of the mark of a worker that was not heard and of keys that are taken
# away, of handovers by ability, of workers that start again under their ids, and
# of how failed runs are counted, and that each fails when a guard is taken out.
# Needs spin (tools/deps does not install it; `make model` does).
.PHONY: model
model:
	@command -v spin >/dev/null || { apt-get update && apt-get install -y --no-install-recommends spin; }
	@tools/model docs/design/once.pml
	@tools/model docs/design/takeover.pml
	@tools/model docs/design/record.pml
	@tools/model docs/design/mark.pml
	@tools/model docs/design/revocation.pml
	@tools/model docs/design/ability.pml
	@tools/model docs/design/restart.pml
	@tools/model docs/design/attempts.pml
