.PHONY: demo test format lint generate build measure

TOOL = go tool -modfile=tools/go.mod

build:
	go build -o bin/ ./cmd/...

demo:
	timeout 60 ./demo/run.sh

test:
	go test -race -count=1 ./...

format:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v '^internal/wire/')

lint:
	$(TOOL) revive -config revive.toml -set_exit_status -exclude ./internal/wire/... ./...
	go vet ./...

generate:
	$(TOOL) buf generate


measure:
	go run ./measure
