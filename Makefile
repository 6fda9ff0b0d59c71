# Packages, in the order of who may use whom: base < model < port < policy <
# core; adapter and daemon sit on top of them; cli uses base,
# model and adapter alone.  tools/check-layers keeps it so.
PACKAGES = cell adapter core policy port model base
# The users' platform: the one folder that knows its formats.
PLATFORM = $(B)/libplatform.a
VARIANT ?= release
B = build/$(VARIANT)

CC = gcc
PKGS = libulfius jansson libzmq argtable2 ck libxxhash libcurl libmicrohttpd gnutls
CPPFLAGS = -Iinclude -I. -D_GNU_SOURCE
WARN = -std=c11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wvla -Wpointer-arith -Wwrite-strings
CFLAGS_release = -O2 -g
CFLAGS_asan = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all \
  -fno-omit-frame-pointer
CFLAGS_tsan = -O1 -g -fsanitize=thread -fno-omit-frame-pointer
CFLAGS = $(WARN) $(CFLAGS_$(VARIANT)) -pthread
LDFLAGS = $(CFLAGS_$(VARIANT)) -pthread
LDLIBS = -lulfius -lorcania -ljansson -lzmq -lmsgpackc -largtable2 -lck \
  -lxxhash -lcurl -lmicrohttpd -lgnutls -lm

LIBS = $(PACKAGES:%=$(B)/lib%.a)
DAEMON_OBJ = $(filter-out %/main.o,$(patsubst src/%.c,$(B)/obj/src/%.o,$(wildcard src/daemon/*.c)))
CLI_OBJ = $(filter-out %/main.o,$(patsubst src/%.c,$(B)/obj/src/%.o,$(wildcard src/cli/*.c)))
BINS = $(B)/cuminmuxd $(B)/cuminmux
# Archives, so that a program links only the parts that it uses.
TESTLIBS = $(PLATFORM) $(B)/libsoak.a $(B)/libbench.a $(B)/libdemo.a $(B)/libsupport.a $(B)/libstandin.a \
  $(B)/libdaemon.a $(B)/libcli.a
UNIT = $(patsubst test/unit/%.c,$(B)/unit/%,$(wildcard test/unit/test_*.c)) \
  $(patsubst platform/test/%.c,$(B)/platform/%,$(wildcard platform/test/test_*.c))
# Tests of whole processes: memory and descriptors are bounded, so that they
# run one at a time.
PROCESS = $(patsubst %.c,$(B)/process/%,$(notdir $(wildcard test/process/*.c platform/test/process/*.c)))
STANDIN = $(patsubst test/standin/%_main.c,$(B)/standin-%,$(wildcard test/standin/*_main.c))
STANDIN_OBJ = $(patsubst test/%.c,$(B)/obj/test/%.o,$(filter-out %_main.c,$(wildcard test/standin/*.c)))
BENCH = $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/bench_*.c))
PROOF = $(patsubst test/proof/%.c,$(B)/proof/%,$(wildcard test/proof/proof_*.c))
DEMO = $(patsubst demo/%_main.c,$(B)/%,$(wildcard demo/*_main.c))
SOAK = $(B)/soak

all: $(BINS) $(STANDIN) $(DEMO) $(SOAK)
unit: $(UNIT)
process-tests: $(PROCESS)
benches: $(BENCH)
proof-programs: $(PROOF)
.PHONY: all unit process-tests benches proof-programs clean
.SECONDARY:

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $(VARIANT) $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

# Tests, benchmarks and the demo may also include each other's support headers.
OUTER = test bench demo platform/test
$(OUTER:%=$(B)/obj/%/%.o): CPPFLAGS += -Itest -I.

define package
$(B)/lib$(1).a: $(patsubst src/%.c,$(B)/obj/src/%.o,$(wildcard src/$(1)/*.c))
	@mkdir -p $$(@D)
	@rm -f $$@
	@ar rcs $$@ $$^
endef
$(foreach p,$(PACKAGES),$(eval $(call package,$(p))))

$(PLATFORM): $(patsubst %.c,$(B)/obj/%.o,$(wildcard platform/*.c))
	@rm -f $@
	@ar rcs $@ $^

$(B)/cuminmuxd: $(B)/obj/src/daemon/main.o $(DAEMON_OBJ) $(PLATFORM) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(PLATFORM) $(LIBS) $(LIBS) $(LDLIBS)

$(B)/cuminmux: $(B)/obj/src/cli/main.o $(CLI_OBJ) $(LIBS)
	$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIBS) $(LIBS) $(LDLIBS)

$(B)/libsupport.a: $(patsubst %.c,$(B)/obj/%.o,$(wildcard test/support/*.c))
$(B)/libbench.a: $(patsubst %.c,$(B)/obj/%.o,$(wildcard bench/support/*.c))
$(B)/libdemo.a: $(patsubst %.c,$(B)/obj/%.o,$(wildcard demo/support/*.c))
$(B)/libstandin.a: $(STANDIN_OBJ)
$(B)/libsoak.a: $(patsubst %.c,$(B)/obj/%.o,$(filter-out %_main.c,$(wildcard platform/test/soak/*.c)))
$(B)/libdaemon.a: $(DAEMON_OBJ)
$(B)/libcli.a: $(CLI_OBJ)
$(filter-out $(PLATFORM),$(TESTLIBS)):
	@mkdir -p $(@D)
	@rm -f $@
	@ar rcs $@ $^

TESTLINK = mkdir -p $(@D) && $(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) \
  -Wl,--start-group $(TESTLIBS) $(LIBS) -Wl,--end-group -lcmocka $(LDLIBS)

$(B)/standin-%: $(B)/obj/test/standin/%_main.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/unit/%: $(B)/obj/test/unit/%.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/platform/%: $(B)/obj/platform/test/%.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/process/%: $(B)/obj/test/process/%.o $(B)/cuminmuxd $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/process/%: $(B)/obj/platform/test/process/%.o $(B)/cuminmuxd $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/bench/%: $(B)/obj/bench/%.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/proof/%: $(B)/obj/test/proof/%.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/soak: $(B)/obj/platform/test/soak/soak_main.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)
$(B)/%: $(B)/obj/demo/%_main.o $(TESTLIBS) $(LIBS)
	@$(TESTLINK)

clean:
	rm -rf build

# Targets that install, check, run the demo and measure live in one file each.
include $(wildcard tools/*.mk)

-include $(shell find $(sort build $(B)) -name '*.d' 2>/dev/null)
