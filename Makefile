TOOLS := $(CURDIR)/.tools
GO ?= go
export PATH := $(TOOLS):$(PATH)

GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
BUF_VERSION := v1.50.0
PROTOC_GEN_GO_VERSION := v1.36.12
TWIRP_VERSION := v8.1.3+incompatible
GOPLS_VERSION := v0.22.0

.PHONY: docs capacity measure build test lint format generate check-generated tools lint-tools generate-tools rename-tools soak fuzz clean

build:
	$(GO) build -o lavenderhub .

# The tests of package memorytester measure real processes and run apart from other load.
test:
	status=0; \
	$(GO) test -race -timeout 20m $$($(GO) list ./... | grep -v '/memorytester$$') || status=$$?; \
	$(GO) test -race -timeout 20m ./internal/memorytester || status=$$?; \
	exit $$status

# Runs the randomized tests of the replication, rate limiting and admission logic at length.
soak:
	$(GO) test -timeout 80m -run 'Random' ./internal/replicator ./internal/limiter ./internal/admitter -rapid.checks=20000 -rapid.seed=7

FUZZ_TIME ?= 30s
fuzz:
	$(GO) test ./internal/parser -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME)
	$(GO) test ./internal/authenticator -run '^$$' -fuzz FuzzVerify -fuzztime $(FUZZ_TIME)
	$(GO) test ./internal/forwarder -run '^$$' -fuzz FuzzHeaders -fuzztime $(FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzReadConfiguration -fuzztime $(FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzReadHeartbeat -fuzztime $(FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzReadHealth -fuzztime $(FUZZ_TIME)

lint: lint-tools
	test -z "$$(gofumpt -l *.go internal platform)"
	golangci-lint run ./...

format: lint-tools
	gofumpt -w *.go internal platform

generate: generate-tools
	cd schema && buf generate

# Writes the manual pages and the settings reference.
docs: build
	./lavenderhub docs docs

# Measures the cost growth rates that docs/CAPACITY.md reports.
capacity: build
	./lavenderhub experiment slopes
	./lavenderhub experiment latency
	./lavenderhub experiment claims

# Runs the experiments reported in docs/MEASUREMENTS.md. This takes about half an hour on an idle machine.
measure: build
	for x in latency overload account retries leaving control claims rate day slopes; do \
		echo "## $$x"; ./lavenderhub experiment $$x || exit 1; \
	done

check-generated: generate
	git diff --exit-code -- schema

tools: lint-tools generate-tools rename-tools

lint-tools: $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION) $(TOOLS)/gofumpt-$(GOFUMPT_VERSION)

generate-tools: $(TOOLS)/buf-$(BUF_VERSION) $(TOOLS)/protoc-gen-go-$(PROTOC_GEN_GO_VERSION) $(TOOLS)/protoc-gen-twirp-$(TWIRP_VERSION)

rename-tools: $(TOOLS)/gopls-$(GOPLS_VERSION)

$(TOOLS)/golangci-lint-$(GOLANGCI_VERSION):
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	touch $@

$(TOOLS)/gofumpt-$(GOFUMPT_VERSION):
	GOBIN=$(TOOLS) $(GO) install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	touch $@

$(TOOLS)/buf-$(BUF_VERSION):
	GOBIN=$(TOOLS) $(GO) install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	touch $@

$(TOOLS)/protoc-gen-go-$(PROTOC_GEN_GO_VERSION):
	GOBIN=$(TOOLS) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	touch $@

$(TOOLS)/protoc-gen-twirp-$(TWIRP_VERSION):
	GOBIN=$(TOOLS) $(GO) install github.com/twitchtv/twirp/protoc-gen-twirp@$(TWIRP_VERSION)
	touch $@

$(TOOLS)/gopls-$(GOPLS_VERSION):
	GOBIN=$(TOOLS) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	touch $@

clean:
	rm -rf lavenderhub out
