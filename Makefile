.PHONY: build test ci generate bench

build:
	go build -o bin/ ./cmd/...

test:
	go test -race ./...

ci:
	bash .ci/run

# Needs protoc-gen-go, protoc-gen-go-grpc and buf on the PATH; see
# CONTRIBUTING.md. The build itself needs no generator.
generate:
	go tool goa gen papayaspan.dev/papayaspan/design
	cd api/peer && buf generate

bench:
	go test -run '^$$' -bench '^BenchmarkPolicy' -benchtime=1x ./bench
