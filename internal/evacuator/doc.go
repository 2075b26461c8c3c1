// Package evacuator tracks which failure domains an operator has evacuated: their upstreams get no new requests until the
// operator takes them back. The operator writes one entry of the store for each such domain, and removes it to take the domain
// back.
package evacuator
