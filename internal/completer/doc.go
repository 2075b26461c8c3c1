// Package completer checks that what comes back over HTTP/1.1 is a whole answer. net/http takes any status of three digits for
// one. It also takes the end of a connection for the end of an answer without a length, even if the other side has reset
// the connection: a write of the request that is still under way then consumes the error, and the reader sees a clean end.
package completer
