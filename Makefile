GO ?= go
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PROTOC_GEN_GO := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
SEEDS ?= 20
FIRST ?= 1
SHAPE ?= small
PARALLEL ?= 4
CROWDS ?= all

.PHONY: bench-requests broken build capacity crowds departures e2e faults fmt generate lint replay soak system test unit vet

build:
	$(GO) build -o burdocksaddle .

# test runs everything that CI runs: formatter, linter, vet, build and all tests.
test: fmt lint vet build unit system
	$(MAKE) faults SEEDS=2
	$(MAKE) faults SEEDS=1 SHAPE=large PARALLEL=2
	$(MAKE) departures
	$(MAKE) crowds CROWDS=short

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

lint:
	$(GO) run $(LINT) run --allow-parallel-runners ./...

vet:
	$(GO) vet ./...

unit:
	.ci/known-red $(GO) test -race -timeout 8m ./...

# system injects faults into a whole cluster in one process, for two seeds; make soak runs more.
system:
	SEEDS=2 .ci/known-red $(GO) test ./e2e -run TestSoak -count=1 -timeout 4m -v

# e2e runs a cluster of real processes on loopback addresses and injects faults, within two minutes.
e2e:
	BURDOCKSADDLE_E2E=1 .ci/known-red $(GO) test -count=1 -timeout 130s -v ./e2e

# faults runs gateways and stewards as real processes behind loopback proxies and injects faults, for SEEDS seeds from FIRST on.
# SHAPE=large runs five stewards, two of which lose their disks at once, and twelve gateways. PARALLEL clusters run at a time.
# broken verifies that each check of these runs can fail.
faults:
	BURDOCKSADDLE_FAULTS=1 SEEDS=$(SEEDS) FIRST=$(FIRST) SHAPE=$(SHAPE) .ci/known-red $(GO) test ./e2e -run TestPlatformFaults -count=1 -parallel $(PARALLEL) -timeout 60m -v

# departures has stewards, as real processes, leave their group several at a time, in series and beside losses, and lose disks meanwhile.
departures:
	BURDOCKSADDLE_FAULTS=1 .ci/known-red $(GO) test ./e2e -run 'TestStewardDepartures|TestStewardReplacements' -count=1 -parallel $(PARALLEL) -timeout 10m -v

broken:
	BURDOCKSADDLE_FAULTS=1 $(GO) test ./e2e -run TestChecksFail -count=1 -parallel 4 -timeout 10m -v

# crowds runs processes on small machines and has crowds of clients that don't behave at each of their addresses, one crowd at a time.
# CROWDS=short has all kinds of clients at once at most addresses.
crowds:
	BURDOCKSADDLE_CROWDS=$(CROWDS) .ci/known-red $(GO) test ./e2e -run 'TestCrowds|TestLegalRequests' -count=1 -timeout 30m -v

# capacity measures the resource usage per node, connection and request that docs/CAPACITY.md is based on.
capacity:
	CAPACITY=1 $(GO) test ./e2e -run 'TestCapacity' -count=1 -timeout 20m -v
	$(GO) test ./catalog ./control ./placement ./quorum ./storage -run '^$$' -bench . -benchmem -benchtime 200ms

# generate regenerates the committed protobuf code; it needs protoc.
generate:
	GOBIN=$(CURDIR)/bin $(GO) install $(PROTOC_GEN_GO)
	PATH=$(CURDIR)/bin:$$PATH protoc --go_out=. --go_opt=module=burdocksaddle wirepb/burdocksaddle.proto
	rm -r bin

# soak runs SEEDS long randomised runs of the consensus log with its storage and of a whole cluster, for which it also injects
# each fault alone in each stage. It prints the seeds.
soak:
	$(GO) test ./storage -run TestSoak -count=1 -timeout 60m -v -args -seeds=$(SEEDS) -first=$(FIRST)
	SEED=$(FIRST) SEEDS=$(SEEDS) $(GO) test ./e2e -run 'TestSoak|TestEachBreak' -count=1 -timeout 60m -v

# replay compares the placement policy with its baselines over SEEDS seeds for both deployments.
replay:
	$(GO) run . replay --deployment tw-west --seeds $(SEEDS)
	$(GO) run . replay --deployment kingston --seeds $(SEEDS)

# bench-requests measures the request overhead over a direct call, goodput under overload, time to first token and framing.
bench-requests:
	$(GO) test -run '^$$' -bench Overhead -benchtime 1500x ./entry
	$(GO) test -run '^$$' -bench 'Goodput|FirstToken' -benchtime 1x ./entry
	$(GO) test -run '^$$' -bench 'Send|Receive' ./wire
