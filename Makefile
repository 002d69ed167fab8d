.PHONY: demo site test format lint generate build measure soak

TOOL = go tool -modfile=tools/go.mod
# KNOWN_RED joins the names of the tests in KNOWN-RED.txt for -skip; a name TEST/ROW stands for one row of a table.
KNOWN_RED = $(shell awk -F ' [|] ' '!/^\#/ && NF {gsub("/", "$$/^", $$1); print "^" $$1 "$$"}' KNOWN-RED.txt | paste -sd '|' -)

build:
	go build -o bin/ ./cmd/...

# Starts a site on loopback, sends requests through it and shuts it down.
demo:
	timeout 60 ./demo/run.sh

# Starts the same site and keeps it running until it is interrupted.
site:
	./demo/run.sh keep

# Runs all tests except those in KNOWN-RED.txt, which it prints. TestSessionKeepsItsVersion runs without -race, because the Go
# runtime crashes in it now and then with -race. The crowds come last, apart from all others, since they take much of a machine.
test:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known red, passed over: /' || true
	go test -race -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$(go list ./... | grep -v /crowd$$)
	go test -count=1 -run '^TestSessionKeepsItsVersion$$' ./internal/session
	go test -race -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./crowd

format:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v '^internal/wire/')

lint:
	$(TOOL) revive -config revive.toml -set_exit_status -exclude ./internal/wire/... ./...
	go vet ./...

generate:
	$(TOOL) buf generate


measure:
	go run ./measure

SEED ?= 1
SEEDS ?= 50
LENGTH ?= 5s

soak:
	go test -count=1 -timeout 60m ./soak -seed $(SEED) -seeds $(SEEDS) -length $(LENGTH) -v
