package forwarder

import (
	"net/url"
	"strings"
)

// targetURL returns the URL of a request to a host for which net/http writes exactly the given target. It returns false if there is
// none.
func targetURL(host, target string) (*url.URL, bool) {
	location := &url.URL{
		Scheme: "http",
		Host:   host,
		Opaque: target,
	}
	if strings.HasPrefix(target, "//") { // as an opaque part it would be written as an absolute address, with another host
		path, query, hasQuery := strings.Cut(target, "?")
		unescaped, err := url.PathUnescape(path)
		if err != nil {
			return nil, false
		}
		location = &url.URL{
			Scheme:     "http",
			Host:       host,
			Path:       unescaped,
			RawPath:    path,
			RawQuery:   query,
			ForceQuery: hasQuery,
		}
	}
	return location, location.RequestURI() == target
}

// Forwardable reports whether a routed request with the given target can be sent to upstreams with exactly that target.
func Forwardable(target string) bool {
	_, ok := targetURL("", target)
	return ok && strings.HasPrefix(target, "/")
}
