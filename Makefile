GO ?= go
BIN := bin

.PHONY: build test bench capacity demo fmt

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) test -race ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# capacity prints the slopes on which docs/CAPACITY.md rests.
capacity:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./internal/capacity

demo: build
	bash demo/run.sh

fmt:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')
