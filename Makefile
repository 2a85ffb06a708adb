# Pinned tool versions; CI installs exactly these.
GOLANGCI_LINT_VERSION := v2.5.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_DRPC_VERSION := v1.1.0
TOOLS := $(shell go env GOPATH)/bin
export PATH := $(TOOLS):$(PATH)

.PHONY: build test race lint fmt generate check-generated tools demo

build: ## Build the binary into bin/
	go build -o bin/mimosarelay .

test: ## Run all tests
	go test ./...

race: ## Run all tests with the race detector
	go test -race ./...

lint: ## Run the linter and check the format
	golangci-lint run --allow-parallel-runners ./...
	golangci-lint fmt --diff

fmt: ## Format the code
	golangci-lint fmt

generate: ## Regenerate the committed code
	go generate ./...

check-generated: generate ## Fail if the committed code is out of date
	git diff --exit-code -- '*.pb.go'

tools: ## Install the pinned tools
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install storj.io/drpc/cmd/protoc-gen-go-drpc@$(PROTOC_GEN_DRPC_VERSION)

demo: build ## Run the demo
	bin/mimosarelay demo
