SHELL := /bin/bash

.PHONY: build demo demo-requests demo-ho-chi-minh test lint matrix knockouts floods bench capacity load soak

LINTER := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

build:
	go build -o bin/ ./cmd/...

demo: build
	bash demo/packets.sh

demo-requests: build
	bash demo/run.sh lima

demo-ho-chi-minh: build
	bash demo/run.sh ho-chi-minh

# Three packages at a time: the model checks use all cores, and the soak's bounds in seconds
# need some of them.
test:
	go test -p 3 ./...

matrix: build
	bin/cactuspin-standin matrix test/matrix.yaml --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml

bench:
	go test -run '^$$' -bench 'Established|NewFlow|SealAndOpen' -benchtime 1s ./internal/host/engine ./internal/routing/sealer
	go test -run '^$$' -bench . -benchtime 1s ./internal/steering/balancer
	go test -run '^$$' -bench Control -benchtime 1x ./internal/standin/simulator

floods: build
	bin/cactuspin-standin floods test/matrix.yaml --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml
	bin/cactuspin-standin ends test/matrix.yaml --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml \
	  $(addprefix --story ,$(wildcard test/scripts/*.yaml))
	bin/cactuspin-standin balance test/matrix.yaml --bundle examples/lima-1.yaml --bundle examples/lima-2.yaml

lint:
	$(LINTER) fmt --diff ./...
	$(LINTER) run ./...
	go mod verify

capacity:
	go test -run '^$$' -bench 'By|Memory' -benchtime 0.3s ./internal/host/engine

knockouts:
	bash test/knockouts.sh

# make soak SEED=7 SECONDS=60 [HOSTS=20] [RUN=Planned]: real processes under faults, or
# with RUN=Planned under planned work and odd entries only.
soak:
	@SOAK_SEED=$(or $(SEED),1) SOAK_SECONDS=$(or $(SECONDS),30) SOAK_HOSTS=$(or $(HOSTS),2) \
	  go test -count=1 -timeout 60m -v -run '$(or $(RUN),TestSoak$$)' ./test/soak > bin/soak.log 2>&1; status=$$?; \
	  grep -vE '^(=== |PASS|ok |FAIL$$)' bin/soak.log; sed -n 's/^soak: //p' bin/soak.log; exit $$status

load: build
	bash demo/load.sh 10000
	LOG_LEVEL=warn bash demo/load.sh 10000

# A page with plots of all scores in journal/: bin/report.html.
report: build
	bin/cactuspin-standin report
