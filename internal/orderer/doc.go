// Package orderer sends orders to engines over HTTP: load or unload a model or an
// adapter, or change the engine's role. Each order is sent at most once, on its own
// connection, which is closed once the order is answered or has expired.
package orderer
