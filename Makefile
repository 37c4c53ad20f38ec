# `make demo` builds the commands and runs the demo on a small cluster; `make test` runs the tests.
BIN := bin
TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
GEN_VERSION := v0.24.1
GOPLS_VERSION := v0.23.0
SPINDLE_SEED ?= 1
export SPINDLE_SEED

export CGO_ENABLED := 1

.PHONY: build demo prove soak test tools lint gopls format-check generate generate-check libc-check deps-check platform-check fuzz clean

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/spindlebench demo --bin-dir $(BIN)

# Experiments on real processes under failures, with a fixed seed: each must report 0 violations.
PROVE := order-resend repartition drain platform-outage crashing-request chaos
prove: build
	@for e in $(PROVE); do \
		$(BIN)/spindlebench run --bin-dir $(BIN) --experiment $$e --seed 1 --vms 8 --duration 4s --out out/prove-$$e || exit 1; \
	done

# Random faults on daemons connected to a stand-in of the users' platform, with fixed seeds
# and those that once found a fault. Settings and logs of failed seeds stay in out/soak.
SOAK ?= --seeds 1,3,regressions --duration 6s --jobs 2
WIDE_SOAK ?= --seeds 1,regressions --shards 60 --duration 6s --jobs 2
soak: build
	$(BIN)/spindlebench soak --bin-dir $(BIN) $(SOAK)
	$(BIN)/spindlebench soak --bin-dir $(BIN) $(WIDE_SOAK)

# Tests that bound a process's memory under many clients run after the others, without load beside them.
ALONE := /platform/clients$$
test:
	@failed=0; \
	go test -race -count=1 -timeout 20m $$(go list ./... | grep -v '$(ALONE)') || failed=1; \
	go test -race -count=1 -timeout 20m $$(go list ./... | grep '$(ALONE)') || failed=1; \
	exit $$failed

# Long runs of the property tests with a new random seed, which is printed, and of the fuzz targets
# for bytes that others send.
FUZZ := upstream:FuzzReply upstream:FuzzLoad policy/coverage:FuzzTopRecords peer:FuzzDecode ingress:FuzzRequestHeads
FUZZ_TIME ?= 60s
fuzz:
	@seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "seed $$seed"; \
	SPINDLE_SEED=$$seed go test -count=1 -timeout 60m ./internal/policy/... ./internal/facts ./internal/poison ./internal/readlimit -args -rapid.checks=5000
	@for t in $(FUZZ); do go test -run xxx -fuzz "$${t#*:}" -fuzztime $(FUZZ_TIME) -parallel 4 ./internal/$${t%:*} || exit 1; done

tools: $(TOOLS)/golangci-lint $(TOOLS)/go-jsonschema

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(TOOLS)/go-jsonschema:
	GOBIN=$(TOOLS) go install github.com/atombender/go-jsonschema@$(GEN_VERSION)

# The Go language server, for renames that span packages; CI does not need it.
gopls: $(TOOLS)/gopls

$(TOOLS)/gopls:
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools
	$(TOOLS)/golangci-lint run ./...

format-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); [ -z "$$out" ] || { echo "gofmt would change: $$out"; exit 1; }

generate: tools
	PATH=$(TOOLS):$$PATH bash schema/generate.sh

generate-check: generate
	git diff --exit-code -- schema/gen docs/operators

libc-check: build
	ldd $(BIN)/sardinespindle | grep libc.so

# Fails if the daemon links packages whose code or initialization costs each VM memory and time at its
# start (docs/design/memory.md).
HEAVY_PACKAGES := google.golang.org/grpc|github.com/santhosh-tekuri/jsonschema|github.com/alecthomas/kingpin|html/template|github.com/felixge/httpsnoop
deps-check:
	@out=$$(go list -deps ./cmd/sardinespindle | grep -E '^($(HEAVY_PACKAGES))(/|$$)'); [ -z "$$out" ] || { echo "the daemon links: $$out"; exit 1; }

# Fails if Go code outside platform/ and deploy/ uses names of the users' platform, or if
# platform/ without its tests has 1500 lines or more.
PLATFORM_WORDS := X-Request-Deadline|X-Expected-Instance|X-Shard-Stamps|X-Missing-Shards|X-Response-Stamp|X-Not-Executed|X-Server-Load|X-Warmup-Remaining|warmupPerS|kv-(key|range|watch)|trafficSplit|SARDINESPINDLE_BOOT
platform-check:
	@out=$$(git grep -lE '$(PLATFORM_WORDS)' -- '*.go' ':!platform' ':!deploy'); [ -z "$$out" ] || { echo "the platform's names outside platform/: $$out"; exit 1; }
	@n=$$(git ls-files 'platform/*.go' | grep -v _test.go | xargs cat | wc -l); [ $$n -lt 1500 ] || { echo "platform/ has $$n lines, the limit is 1499"; exit 1; }

clean:
	rm -rf $(BIN)
