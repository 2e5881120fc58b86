# Makefile of kumquatrock. Each .c file compiles to one object under $(O).

CC = cc
PREFIX = /usr/local
DESTDIR =
PKGS = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 yajl libsodium libtirpc
CFLAGS = -O2 -g -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter -Werror
CPPFLAGS := -D_GNU_SOURCE -Isrc/internal -Isrc \
	-I. -Itests/lib $(shell pkg-config --cflags $(PKGS))
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lhttp_parser -largtable2 -lm
CHECK_LIBS := $(shell pkg-config --libs check)
O = build
SAN =

CORE_SRC := $(wildcard src/core/*/*.c src/core/*.c)
ADAPTER_SRC := $(wildcard src/adapter/*/*.c)
DAEMON_SRC := $(wildcard src/daemon/*.c src/daemon/*/*.c)
TOOL_SRC := $(wildcard src/tool/*.c)
PLATFORM_SRC := $(wildcard platform/*.c)
LIB_SRC := $(CORE_SRC) $(ADAPTER_SRC) $(PLATFORM_SRC)
LIB_OBJ := $(LIB_SRC:%.c=$(O)/%.o)

# Code shared by tests and benchmarks.
TEST_SRC := $(wildcard tests/lib/*.c)
TEST_OBJ := $(TEST_SRC:%.c=$(O)/%.o)

# Programs of several files, one directory each: bench/NAME, tests/fake/NAME.
BENCH := $(notdir $(patsubst %/,%,$(wildcard bench/*/)))
FAKES := $(notdir $(patsubst %/,%,$(wildcard tests/fake/*/)))
UNITS := $(notdir $(basename $(wildcard tests/unit/*.c)))

PROGS := $(if $(DAEMON_SRC),$(O)/kumquatrockd) $(if $(TOOL_SRC),$(O)/kumquatrock) \
	$(BENCH:%=$(O)/bench-%) $(FAKES:%=$(O)/fake-%) $(O)/history-check $(O)/script-run \
	$(O)/rig-mesh $(O)/rig-redirect.so
UNIT_PROGS := $(UNITS:%=$(O)/unit-%)

all: $(PROGS)

$(O)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(SAN) -MMD -MP -c -o $@ $<

COMMIT := $(shell git rev-parse --short HEAD 2>/dev/null)
$(O)/src/adapter/version/version.o: CPPFLAGS += $(if $(COMMIT),-DKQ_COMMIT='"$(COMMIT)"')

$(O)/libkumquatrock.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(O)/libtest.a: $(TEST_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(O)/kumquatrockd: $(DAEMON_SRC:%.c=$(O)/%.o) $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(O)/kumquatrock: $(TOOL_SRC:%.c=$(O)/%.o) $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

define multi_prog
$(O)/$(1)-$(2): $$(patsubst %.c,$(O)/%.o,$$(wildcard $(3)/$(2)/*.c)) $(O)/libtest.a $(O)/libkumquatrock.a
	$$(CC) $$(SAN) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach b,$(BENCH),$(eval $(call multi_prog,bench,$(b),bench)))
$(foreach f,$(FAKES),$(eval $(call multi_prog,fake,$(f),tests/fake)))

# The callers' side of tests/fake/planned is part of the rig.
RIG_SRC := $(filter-out tests/rig/redirect.c,$(wildcard tests/rig/*.c)) \
	$(addprefix tests/fake/planned/,answer.c request.c mesh.c)
$(O)/rig-mesh: $(RIG_SRC:%.c=$(O)/%.o) $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(O)/rig-redirect.so: tests/rig/redirect.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -shared -fPIC -o $@ $< -ldl

$(O)/history-check: $(patsubst %.c,$(O)/%.o,$(wildcard tests/history/*.c)) $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(O)/script-run: $(patsubst %.c,$(O)/%.o,$(wildcard tests/script/*.c)) $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(O)/unit-%: $(O)/tests/unit/%.o $(O)/libtest.a $(O)/libkumquatrock.a
	$(CC) $(SAN) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

$(O)/unit-hold: $(O)/src/daemon/outbound/hold.o
$(O)/unit-reply_status: $(O)/src/daemon/outbound/reply.o
$(O)/unit-reply_status: LDLIBS := $(O)/libkumquatrock.a $(LDLIBS)

# Built by tests/system/fuzz-*.sh with clang and libFuzzer.
$(O)/fuzz-%: $(O)/tests/fuzz/%.o $(O)/libkumquatrock.a
	$(CC) $(SAN) -fsanitize=fuzzer -o $@ $^ $(LDLIBS)

check: all $(UNIT_PROGS)
	./scripts/run-tests $(O)

SEEDS = 1 2 3 4 5 6 7 8 9 10
soak: all
	./scripts/soak $(O) $(SEEDS)

bench: all
	./scripts/run-bench $(O)

picking: all
	./scripts/picking $(O)

lint:
	./scripts/lint

format:
	git ls-files '*.c' '*.h' ':!src/adapter/rpc/gen/*' | xargs clang-format -i

sanitize:
	$(MAKE) O=build/asan SAN='-fsanitize=address,undefined -fno-sanitize-recover=all' check

sanitize-thread:
	$(MAKE) O=build/tsan SAN=-fsanitize=thread check

install: $(O)/kumquatrock $(O)/kumquatrockd
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin \
		$(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8 \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install -m 755 $(O)/kumquatrock $(DESTDIR)$(PREFIX)/bin
	install -m 755 $(O)/kumquatrockd $(DESTDIR)$(PREFIX)/sbin
	install -m 644 man/kumquatrock.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/kumquatrockd.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 completion/kumquatrock.bash \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions/kumquatrock

clean:
	rm -rf build out

.PHONY: all check bench soak picking lint format sanitize sanitize-thread install clean
.SECONDARY:
-include $(shell find $(O) -name '*.d' 2>/dev/null)
