// Package acceptor accepts the connections of clients that are not controlled, and bounds what they can make an HTTP server
// hold: the number of connections, and the memory of the heads of requests. A parsed head takes many times the bytes of one
// that consists of very short lines, so that a limit in bytes does not bound it.
package acceptor
