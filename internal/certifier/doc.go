// Package certifier issues and loads the certificates that authenticate
// instances and operators, and builds TLS configurations from them.
//
// A certificate's common name is the name of the instance or operator, its
// organization is the instance's failure domain, and its organizational unit
// is "instance" or "operator".
package certifier
