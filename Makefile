# Builds use the installed Go toolchain. Tool versions are pinned here, outside the
# product's own module.
GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
TEST_TIMEOUT := 8m

.PHONY: build fmt lint test unit model demo bench clean

build:
	go build -o bin/ ./cmd/...

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

fmt: $(LINT)
	$(LINT) fmt ./...

lint: $(LINT)
	bash scripts/platform-names.sh
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

# Runs all tests. Those that KNOWN-RED.txt lists may fail.
unit:
	go run ./scripts/knownred -race -timeout $(TEST_TIMEOUT)

model:
	bash scripts/tools.sh
	bash spec/check.sh
	bash spec/check-orders.sh

# The unit tests come last, so that the known failures end the output.
test: build lint model unit

demo: build
	bash scripts/demo.sh

bench: build
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin .tools
