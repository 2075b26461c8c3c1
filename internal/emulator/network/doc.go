// Package network emulates the messages between instances for tests and
// measurements. It runs in one process, on the caller's clock, and can delay and
// lose messages and partition nodes; a Gate freezes or kills the code behind it.
//
// It cannot connect real processes; internal/emulator/linker does that. A
// network replaces messenger.Caller, so that tests with fake time can use it:
// fake time does not advance while a goroutine waits on a socket, as a linker's
// do. A network handles messages, so it can lose the answers of a single topic;
// a linker only relays the packets and connections of mutual TLS, which it
// cannot read.
package network
