// Package operator implements the operators' gRPC service, which changes and
// inspects the configuration over mutual TLS, and the client that the command
// line uses. Endpoints and transports are built with go-kit.
package operator
