# daisyledge: for GNU make and BSD make.
#
#   make            the binary and the library
#   make deps       install the missing Debian packages of libraries and tools
#   make check      run all tests
#   make demo       run a deployment of emulated endpoints on this machine
#   make fuzz       run the parsers and codecs on many malformed inputs
#   make soak       run the randomised tests with thousands of seeds
#   make bench      run the benchmarks; prints "name<TAB>value<TAB>unit" lines
#   make capacity   measure the slopes in docs/CAPACITY.md; fails if the page
#                   differs from the result; CAPACITY=write updates the page
#   make lint       check the format, run clang-tidy and cppcheck
#   make format     reformat the sources with clang-format

CC = cc
OPT = -O2 -g
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wpointer-arith -Wno-unused-parameter -Werror
PKGS = libuv msgpack jansson glib-2.0 libxxhash libcrypto zlib
CPPF = -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Iinclude -Isrc -I.
PKGF != pkg-config --cflags $(PKGS) check 2>/dev/null || true
PKGL != pkg-config --libs $(PKGS) 2>/dev/null || true
CHECKL != pkg-config --libs check 2>/dev/null || true
ALLF = -std=gnu11 $(OPT) $(WARN) $(CPPF) $(PKGF) $(CFLAGS) -MMD
LIBS = -lh2o -lhttp_parser -lssl -llog4c $(PKGL) -lm $(LDFLAGS)

# The embeddable library contains the code that does no input or output.
LIBSRC != ls src/base/*.c src/coordination/*.c src/state/*.c 2>/dev/null || true
IOSRC != ls src/transport/*.c src/protocol/*.c platform/*.c 2>/dev/null || true
MAINSRC != ls src/main/*.c src/entry/*.c src/replica/*.c src/cli/*.c \
	src/node/*.c 2>/dev/null || true
# Preloaded into the binary by tests, so in no archive.
PRELOADSRC = test/fake/preload_disk.c test/fake/preload_net.c
PRELOAD = test/fault_disk.so test/fault_net.so
FAKESRC != ls test/fake/*.c 2>/dev/null | grep -v /preload_ || true
TESTSRC != ls test/test_*.c 2>/dev/null || true
TOOLSRC != ls test/tool_*.c 2>/dev/null || true
BENCHSRC != ls bench/bench_*.c 2>/dev/null || true
EXSRC != ls examples/*.c 2>/dev/null || true

LIBOBJ = $(LIBSRC:.c=.o)
IOOBJ = $(IOSRC:.c=.o)
MAINOBJ = $(MAINSRC:.c=.o)
FAKEOBJ = $(FAKESRC:.c=.o)
TESTS = $(TESTSRC:.c=)
TOOLS = $(TOOLSRC:.c=)
BENCHES = $(BENCHSRC:.c=)
EXAMPLES = $(EXSRC:.c=)
ARCHIVES = libdlfake.a libdlio.a libdaisyledge.a
SOURCES = $(LIBSRC) $(IOSRC) $(MAINSRC) $(FAKESRC) $(TESTSRC) $(TOOLSRC) \
	$(BENCHSRC) $(EXSRC) $(PRELOADSRC)
HEADERS != ls include/daisyledge/*.h src/*/*.h platform/*.h test/fake/*.h 2>/dev/null || true

all: daisyledge $(EXAMPLES)

.SUFFIXES: .c .o
.c.o:
	$(CC) $(ALLF) -c -o $@ $<
.c:
	$(CC) $(ALLF) -Itest -o $@ $< $(ARCHIVES) $(CHECKL) $(LIBS)

libdaisyledge.a: $(LIBOBJ)
	rm -f $@ && ar rcs $@ $(LIBOBJ)
libdlio.a: $(IOOBJ)
	rm -f $@ && ar rcs $@ $(IOOBJ)
libdlfake.a: $(FAKEOBJ)
	rm -f $@ && ar rcs $@ $(FAKEOBJ)
daisyledge: $(MAINOBJ) libdlio.a libdaisyledge.a
	$(CC) $(ALLF) -o $@ $(MAINOBJ) libdlio.a libdaisyledge.a $(LIBS)
$(TESTS) $(TOOLS) $(BENCHES) $(EXAMPLES): $(ARCHIVES)
# Without the flags of a sanitizer, whose functions are loaded after it.
test/fault_disk.so: test/fake/preload_disk.c
	$(CC) -std=gnu11 $(OPT) $(WARN) -D_GNU_SOURCE -fPIC -shared -o $@ \
		test/fake/preload_disk.c -ldl
test/fault_net.so: test/fake/preload_net.c
	$(CC) -std=gnu11 $(OPT) $(WARN) -D_GNU_SOURCE -fPIC -shared -o $@ \
		test/fake/preload_net.c -ldl

programs: all $(TESTS) $(TOOLS) $(BENCHES) $(PRELOAD)

deps:
	@sh .ci/deps

check: programs
	sh test/run.sh $(TESTS)

check-asan:
	sh test/asan.sh

bench: programs
	@sh bench/run.sh $(BENCHES)

# Measure the slopes in docs/CAPACITY.md and check the page against them.
capacity: programs
	@mkdir -p build
	$(CC) $(ALLF) -Itest -o build/capacity bench/capacity.c $(ARCHIVES) \
		$(CHECKL) $(LIBS)
	@sh bench/capacity.sh $(CAPACITY)

# Run the parsers and codecs on many more malformed inputs than make check does.
fuzz: programs
	DL_FUZZ=$${DL_FUZZ:-1000000} ./test/test_codec
	DL_FUZZ=$${DL_FUZZ:-100000} ./test/test_conf

# Run the randomised tests with thousands of seeds.
soak: programs
	DL_SEEDS=$${DL_SEEDS:-5000} ./test/test_rlog_random
	DL_SEEDS=$${DL_SEEDS:-5000} ./test/test_memb_random
	DL_SEEDS=$${DL_SEEDS:-5000} ./test/test_httpc_random
	DL_RANDOM_SEED=11 DL_RANDOM_RATE=3 DL_RANDOM_SECONDS=40 \
		sh test/test_system_random.sh

demo: deps
	@$(MAKE) programs >build.log 2>&1 || { tail -20 build.log; exit 1; }
	@sh test/demo.sh $(DEPLOYMENT)

format:
	clang-format -i $(SOURCES) $(HEADERS)
format-check:
	clang-format --dry-run -Werror $(SOURCES) $(HEADERS)
lint: format-check
	sh .ci/lint $(SOURCES)
man-check:
	sh .ci/man-check

clean:
	rm -rf build build.log daisyledge *.a src/*/*.[od] platform/*.[od] test/*.[od] \
		test/fake/*.[od] bench/*.d examples/*.d $(TESTS) $(TOOLS) \
		$(BENCHES) $(EXAMPLES) $(PRELOAD)

.PHONY: all programs deps check check-asan bench capacity demo format format-check \
	lint man-check clean

-include $(LIBOBJ:.o=.d) $(IOOBJ:.o=.d) $(MAINOBJ:.o=.d) $(FAKEOBJ:.o=.d)
-include $(TESTS:=.d) $(TOOLS:=.d) $(BENCHES:=.d)
