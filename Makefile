GO ?= go
BIN := bin
# Tests that fail because of a known fault; KNOWN-RED.txt says which and why.
KNOWN_RED := $(shell grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

.PHONY: build test quick bench capacity demo fmt

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	@if [ -n "$(KNOWN_RED)" ]; then echo "known red, not run (KNOWN-RED.txt): $(KNOWN_RED)"; fi
	$(GO) test -race -parallel 4 -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...
	$(GO) vet -tags hostile ./e2e/hostile
	$(GO) test -tags hostile -p 1 -parallel 1 -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./e2e/hostile

# quick is for the loop between commits: it leaves out the packages that take longest.
quick:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) test $$($(GO) list ./... | grep -vE '/(e2e|soak|replay|rollout|servicetext|relay)$$')

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# capacity prints the slopes on which docs/CAPACITY.md rests.
capacity:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./internal/capacity

demo: build
	bash demo/run.sh

fmt:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')
