# Bounded fuzzing with clang's libFuzzer; its runtime is needed here alone.
FUZZ_RUNS ?= 200000
FUZZ_FLAGS = -std=c11 -g -O1 -Wall -Wextra -Werror -fno-omit-frame-pointer
FUZZ_SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=all
FUZZ_PEER_SRC = src/adapter/peer_addr.c src/adapter/peer_decode.c \
  src/adapter/peer_encode.c src/adapter/peer_fields.c src/base/address.c src/base/blob.c \
  src/base/error.c src/base/id.c src/port/data.c

.PHONY: fuzz-deps fuzz-peer
fuzz-deps:
	sh tools/deps fuzz

build/fuzz/fuzz_peer_codec: test/fuzz/fuzz_peer_codec.c $(FUZZ_PEER_SRC)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) $(FUZZ_FLAGS) $(FUZZ_SANITIZE) -fsanitize=fuzzer -o $@ $^ -lmsgpackc -lxxhash

build/fuzz/seed_peer_codec: test/fuzz/seed_peer_codec.c test/support/peer_sample.c $(FUZZ_PEER_SRC)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -Itest $(FUZZ_FLAGS) $(FUZZ_SANITIZE) -o $@ $^ -lmsgpackc -lxxhash

# The seed is fixed and the corpus made anew, so that every run is the same.
fuzz-peer: fuzz-deps build/fuzz/fuzz_peer_codec build/fuzz/seed_peer_codec
	rm -rf build/fuzz/peer_corpus
	mkdir -p build/fuzz/peer_corpus
	build/fuzz/seed_peer_codec build/fuzz/peer_corpus
	build/fuzz/fuzz_peer_codec -runs=$(FUZZ_RUNS) -seed=1 -max_len=1024 \
	  -max_total_time=300 -artifact_prefix=build/fuzz/ build/fuzz/peer_corpus
