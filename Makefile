# Targets: build test lint demo prove measure generate
GO ?= go
BIN := bin
# TESTFLAGS are flags of "go test" for the tests of both modules.
TESTFLAGS ?=

.PHONY: build test lint demo prove measure generate ci

# build also runs the build of the deploy file, which writes target/: programs there that are
# older than the source would be taken for it.
build:
	$(GO) build -o $(BIN)/ ./cmd/... 
	cd bench && $(GO) build -o ../$(BIN)/ ./cmd/...
	line="$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)" && test -n "$$line" && sh -ec "$$line"

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./... 
	cd bench && $(GO) vet ./...
	$(GO) tool staticcheck ./...
	cd bench && $(GO) tool staticcheck ./...

test: lint build
	$(GO) test $(TESTFLAGS) ./...
	cd bench && $(GO) test $(TESTFLAGS) $$($(GO) list ./... | grep -v /crowd$$)
	cd bench && $(GO) test $(TESTFLAGS) ./crowd # alone: it bounds the memory of processes under crowds

# generate rebuilds the committed protocol code. Nobody needs it for building.
generate:
	@command -v protoc >/dev/null || { apt-get update -q && apt-get install -yq protobuf-compiler; }
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" protoc -I proto --go_out=. --go_opt=module=foxtaildock.example/dock \
	  --connect-go_out=. --connect-go_opt=module=foxtaildock.example/dock proto/dock/v1/dock.proto proto/link/v1/link.proto

# demo starts a small system on loopback and reports; exit 0 only if all held.
demo: build
	$(BIN)/foxbench demo

# prove runs every failure proof on real processes, one line each.
prove: build
	$(BIN)/foxbench prove
	$(GO) test -count=1 ./permit ./membership ./control
	cd bench && $(GO) test -count=1 ./model ./sim

# measure prints the slopes behind docs/CAPACITY.md, the simulated figures, and
# those of real processes. It takes a few minutes.
measure: build
	$(GO) test -run '^$$' -bench . -benchmem ./admission ./api ./control ./control/agentlink ./dispatch ./entry
	cd bench && $(GO) test -run '^$$' -bench Slope -benchmem ./sim
	$(BIN)/foxbench sim
	$(BIN)/foxbench measure
