// Package wire holds the messages between the processes of the system. They are defined
// in wire.proto and mesh.proto. The generated code is committed, so that a build needs
// no generator.
package wire

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=paths=source_relative internal/fleet/wire/wire.proto internal/fleet/wire/mesh.proto
