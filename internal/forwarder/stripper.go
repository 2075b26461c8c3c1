package forwarder

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

// hopHeaders are hop-by-hop header fields, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

// credentialHeaders are header fields that carry callers' credentials.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Cookie", "Cookie2",
	"X-Api-Key", "Api-Key", "Apikey", "X-Goog-Api-Key", "X-Auth-Token", "X-Access-Token", "X-Auth-Key",
}

// ownHeaders are header fields that only this product sets.
var ownHeaders = []string{headerRequest, headerNotRun, headerPriority, headerTeam, "X-Fencing-Number", "X-Order-Id", "X-Order-Expiry"}

// credentialParameters are query parameters that carry callers' credentials.
var credentialParameters = []string{"key", "api_key", "apikey", "api-key", "access_token", "token", "auth", "authorization"}

// StripHeader returns the fields of a caller's header that may reach an upstream. Values that contain
// one of the caller's secrets are dropped from every field. Trailers are never forwarded.
func StripHeader(header http.Header, secrets ...string) http.Header {
	hopNamed := connectionFields(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		if alwaysStripped(name) || slices.Contains(hopNamed, name) || containsFold(secrets, name) {
			continue
		}
		values = slices.DeleteFunc(slices.Clone(values), func(value string) bool {
			return ContainsSecret(secrets, value)
		})
		if len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

// alwaysStripped reports whether a header field is removed whatever its value.
func alwaysStripped(name string) bool {
	return slices.Contains(hopHeaders, name) || slices.Contains(credentialHeaders, name) || slices.Contains(ownHeaders, name)
}

// connectionFields returns the hop-by-hop fields that are listed in Connection.
func connectionFields(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// StripQuery returns the part of a caller's query that may reach an upstream, in
// the same order. Credentials are dropped, as are parameters that upstreams may
// decode differently.
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
		if slices.Contains(credentialParameters, strings.ToLower(name)) || ContainsSecret(secrets, name) || ContainsSecret(secrets, value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// RoutedHeader returns the fields of a caller's header that are forwarded with a routed request: all
// but hop-by-hop fields, those in own, which only the product sets, and those that contain a secret.
func RoutedHeader(header http.Header, own []string, secrets ...string) http.Header {
	hopNamed := connectionFields(header)
	kept := make(http.Header, len(header)+4)
	for name, values := range header {
		if slices.Contains(hopHeaders, name) || slices.Contains(own, name) || slices.Contains(hopNamed, name) {
			continue
		}
		if len(secrets) > 0 && slices.ContainsFunc(values, func(value string) bool { return ContainsSecret(secrets, value) }) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// minSecretBytes is the size of the shortest secret that is searched for, in bytes. Texts contain shorter ones by chance.
const minSecretBytes = 4

// ContainsSecret reports whether a text contains one of the secrets of at least four bytes.
func ContainsSecret(secrets []string, text string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(text, secret)
	})
}

// containsFold is a case-insensitive ContainsSecret for names of header fields, which are changed to
// canonical form in transit.
func containsFold(secrets []string, name string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(strings.ToLower(name), strings.ToLower(secret))
	})
}
