// Package pb is the generated code of reports.proto. Nothing here is written by hand but this file.
package pb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative reports.proto
