SHELL := /bin/bash

.PHONY: build demo demo-ho-chi-minh test lint bench

build:
	go build -o bin/ ./cmd/...

demo: build
	bash demo/run.sh lima

demo-ho-chi-minh: build
	bash demo/run.sh ho-chi-minh

test:
	go test ./...

matrix: build
	bin/cactuspin-standin matrix test/matrix.yaml --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml
