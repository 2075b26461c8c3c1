package recorder

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Metadata is the metadata of a request as it reached an emulator.
type Metadata struct {
	// Header are the header fields.
	Header http.Header `json:"header,omitempty"`
	// Query are the query parameters.
	Query url.Values `json:"query,omitempty"`
	// Trailer are the trailer fields.
	Trailer http.Header `json:"trailer,omitempty"`
	// Secrets are the names of fields and parameters that look like credentials.
	Secrets []string `json:"secrets,omitempty"`
}

// A name looks like a credential if it contains one of credentialParts or
// equals one of credentialNames, in lower case.
var (
	credentialParts = []string{"authorization", "api-key", "apikey", "cookie", "secret", "token", "password"}
	credentialNames = []string{"key", "access_token", "api_key"}
)

// ReadMetadata returns a request's metadata. Trailers are only included if the body has been read.
func ReadMetadata(r *http.Request) Metadata {
	metadata := Metadata{
		Header:  r.Header.Clone(),
		Query:   r.URL.Query(),
		Trailer: r.Trailer.Clone(),
	}
	for _, names := range []map[string][]string{metadata.Header, metadata.Query, metadata.Trailer} {
		for name := range names {
			if looksLikeCredential(name) {
				metadata.Secrets = append(metadata.Secrets, name)
			}
		}
	}
	slices.Sort(metadata.Secrets)
	return metadata
}

func looksLikeCredential(name string) bool {
	name = strings.ToLower(name)
	if slices.Contains(credentialNames, name) {
		return true
	}
	return slices.ContainsFunc(credentialParts, func(part string) bool {
		return strings.Contains(name, part)
	})
}
