.PHONY: all build test format lint ci demo

all: build

build:
	go build -o agategap .

test:
	go test ./...

format:
	golangci-lint fmt

lint:
	golangci-lint run ./...

ci:
	bash .ci/run

demo:
	go run . demo
