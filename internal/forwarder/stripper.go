package forwarder

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

// credentialHeaders carry callers' credentials.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Cookie", "Cookie2",
	"X-Api-Key", "Api-Key", "Apikey", "X-Goog-Api-Key", "X-Auth-Token", "X-Access-Token", "X-Auth-Key",
}

// ownHeaders are set by this product only.
var ownHeaders = []string{headerRequest, headerNotRun, headerPriority, headerTeam, "X-Fencing-Number", "X-Order-Id", "X-Order-Expiry"}

// credentialParameters are query parameters that carry callers' credentials.
var credentialParameters = []string{"key", "api_key", "apikey", "api-key", "access_token", "token", "auth", "authorization"}

// StripHeader returns the fields of a caller's header that may reach an
// upstream. Values that contain a secret of the caller are dropped wherever they
// are. Trailers are never passed on.
func StripHeader(header http.Header, secrets ...string) http.Header {
	named := connectionFields(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		if stripped(name) || slices.Contains(named, name) || containsFold(secrets, name) {
			continue
		}
		values = slices.DeleteFunc(slices.Clone(values), func(value string) bool {
			return Contains(secrets, value)
		})
		if len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

func stripped(name string) bool {
	return slices.Contains(hopHeaders, name) || slices.Contains(credentialHeaders, name) || slices.Contains(ownHeaders, name)
}

// connectionFields are the fields that the header Connection names.
func connectionFields(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// StripQuery returns the part of a caller's query that may reach an upstream,
// in its order. Parameters that upstreams may decode in another way are dropped.
func StripQuery(query string, secrets ...string) string {
	if query == "" {
		return ""
	}
	var kept []string
	for pair := range strings.SplitSeq(query, "&") {
		rawName, rawValue, _ := strings.Cut(pair, "=")
		name, err := url.QueryUnescape(rawName)
		value, valueErr := url.QueryUnescape(rawValue)
		if err != nil || valueErr != nil || strings.ContainsAny(pair, ";#") {
			continue
		}
		if slices.Contains(credentialParameters, strings.ToLower(name)) || Contains(secrets, name) || Contains(secrets, value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// RoutedHeader returns the fields of a caller's header that go on with a routed
// request: all but those of one connection, those that only the product sets,
// and those that show a secret.
func RoutedHeader(header http.Header, own []string, secrets ...string) http.Header {
	named := connectionFields(header)
	kept := make(http.Header, len(header)+4)
	for name, values := range header {
		if slices.Contains(hopHeaders, name) || slices.Contains(own, name) || slices.Contains(named, name) {
			continue
		}
		if len(secrets) > 0 && slices.ContainsFunc(values, func(value string) bool { return Contains(secrets, value) }) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// Contains tells whether text contains one of the secrets.
func Contains(secrets []string, text string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool {
		return secret != "" && strings.Contains(text, secret)
	})
}

// containsFold is Contains for names of header fields, whose case is changed on the way.
func containsFold(secrets []string, name string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool {
		return secret != "" && strings.Contains(strings.ToLower(name), strings.ToLower(secret))
	})
}
