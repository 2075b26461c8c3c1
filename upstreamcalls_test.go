package main

import (
	"regexp"
	"strings"
	"testing"
)

var (
	// transportPattern matches the start of the literal of an HTTP transport.
	transportPattern = regexp.MustCompile(`http\.Transport\{`)
	// notInstance matches the paths of code that is no part of an instance: callers and the review's stand-ins.
	notInstance = regexp.MustCompile(`^(review|internal/generator|internal/prover)/`)
)

// TestCallsToUpstreamsUseTheConnector checks that every HTTP transport of an instance opens its connections through the connector or
// the forwarder's dialer on top of it: others deliver bytes after a partition that were given up during it.
func TestCallsToUpstreamsUseTheConnector(t *testing.T) {
	for path, code := range readRepository(t).code {
		if notInstance.MatchString(path) {
			continue
		}
		for _, at := range transportPattern.FindAllStringIndex(code, -1) {
			literal, _, _ := strings.Cut(code[at[1]:], "\n\t}")
			if !strings.Contains(literal, "connector.New(") && !strings.Contains(literal, "d.dial,") {
				t.Errorf("%s: an HTTP transport opens connections without the connector", path)
			}
		}
	}
}
