// Package wire holds the messages between the processes of the system. They
// are described in wire.proto and mesh.proto, and the generated code is committed, so that a
// build needs no generator.
package wire

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=paths=source_relative internal/fleet/wire/wire.proto internal/fleet/wire/mesh.proto
