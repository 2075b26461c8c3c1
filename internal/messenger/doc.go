// Package messenger exchanges messages between instances over QUIC with mutual TLS. A message
// has a topic and a payload, which is a protobuf message that the topic's package defines.
// Every message is bound to the name, failure domain and incarnation (start counter) of its
// sender.
package messenger
