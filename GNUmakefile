# Targets: build, lint, test, hostile, race, demo, golden, slopes, clean.

programs = router agent hickoryvane standin bench platform
modules  = core $(programs) proof

# Tests that are known to fail, one for each line of KNOWN-RED.txt that starts with Test; they are left out.
red  := $(shell grep -hs '^Test' KNOWN-RED.txt)
skip := $(if $(red),-skip '$(shell echo $(red) | sed 's#[^ /]*#^&$$#g; s# #|#g')')

.PHONY: all build fmt lint test hostile race demo golden slopes clean

all: build

build:
	@mkdir -p bin
	go build -o bin/ $(foreach p,$(programs),./$(p))

fmt:
	cd tools && go tool gofumpt -w $(foreach m,$(modules),../$(m))

lint:
	@out=$$(cd tools && go tool gofumpt -l $(foreach m,$(modules),../$(m))); \
	if [ -n "$$out" ]; then echo "not formatted with gofumpt:"; echo "$$out"; exit 1; fi
	go vet $(foreach m,$(modules),./$(m)/...)
	go vet -tags hostile ./platform/hostile
	cd tools && go tool revive -config ../revive.toml -set_exit_status $(foreach m,$(modules),../$(m)/...)

test: build
	@if [ -n "$(red)" ]; then echo "left out, see KNOWN-RED.txt:"; printf '  %s\n' $(red); fi
	go test -count=1 $(skip) $(foreach m,$(modules),./$(m)/...)

# Measures the memory of whole processes, so that nothing else may run at the same time.
hostile: build
	go test -count=1 -p 1 -tags hostile $(skip) ./platform/hostile

race: build
	go test -race $(skip) $(foreach m,$(modules),./$(m)/...)

demo: build
	demo/run

golden: build
	go test -count=1 ./proof/... -update
	go test -count=1 -run 'TestReport' ./hickoryvane ./platform/names -update

slopes: build
	bin/bench slopes
	demo/idle

clean:
	rm -rf bin
