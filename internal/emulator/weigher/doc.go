// Package weigher emulates the weight store over HTTP. A limited number of
// fetches run at full speed; if more run at once, all share that bandwidth.
// Fetches above the rate limit are refused. It keeps a journal for tests.
package weigher
