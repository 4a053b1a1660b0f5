GO ?= go
BIN := bin

.PHONY: build test bench demo fmt

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

demo: build
	bash demo/run.sh

fmt:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')
