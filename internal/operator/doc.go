// Package operator implements the operators' gRPC service, which changes and
// inspects the configuration over mutual TLS, and the client that the command
// line uses. Endpoints and transports are built with go-kit.
//
// An act is a list of operations that is applied as a whole. A withdrawal
// permanently revokes a key, version, adapter or batch. Both are answered by a
// receipt, which says on how many instances they are in force.
package operator
