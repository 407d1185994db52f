# The commands a contributor needs. `make test` is the whole of CI.
.PHONY: all build vet format lint test generate demo faults policy capacity bench experiment soak

all: build

build:
	go build -o bin/ ./cmd/...

vet:
	go vet ./...

format:
	./scripts/format.sh

lint:
	./scripts/lint.sh

test:
	./scripts/test.sh

generate:
	./scripts/generate.sh

demo: build
	./bin/demo --bin bin

faults: build
	./bin/faults --bin bin

policy:
	./scripts/policy.sh

capacity: build
	./bin/capacity docs/sweeps/*.txt

bench:
	go test -run '^$$' -bench . -benchmem ./...

experiment: build
	./scripts/experiment.sh

# Plays so many seeds; further flags of the command by SOAK, such as SOAK="--seed 7 --processes 10".
SEEDS ?= 5
soak: build
	./bin/soak --bin bin --seeds $(SEEDS) $(SOAK)
