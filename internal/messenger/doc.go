// Package messenger exchanges messages between instances over QUIC with mutual TLS. A message
// has a topic and a payload, which is a protobuf message that the topic's package defines.
// Every message is bound to the name, failure domain and incarnation of its sender: the receiver checks
// the first two against the sender's certificate. An incarnation is the number of a start of an
// instance; messages from an earlier start than the newest known one are refused.
package messenger
