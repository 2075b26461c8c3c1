package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// Identity holds an instance's or operator's certificate with its key, and the authority that peers are verified against.
type Identity struct {
	// Subject is the subject of the certificate.
	Subject Subject

	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads an identity from its PEM files. The error is *Unusable if a file cannot be read or the key does not belong
// to the certificate, and *Mismatch if the subject is neither an instance nor an operator.
func Load(files parser.Identity) (*Identity, error) {
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return nil, &Unusable{
			What:  "certificate",
			Cause: err,
		}
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return nil, &Unusable{
			What:  "key",
			Cause: err,
		}
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, &Unusable{
			What:  "authority",
			Cause: err,
		}
	}
	return Parse(Pair{
		Certificate: certificate,
		Key:         key,
	}, authority)
}

// Parse returns the identity with the given PEM-encoded certificate, key and authority. The errors are those of Load.
func Parse(pair Pair, authority []byte) (*Identity, error) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, &Unusable{
			What:  "certificate and key",
			Cause: err,
		}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &Unusable{
			What: "authority",
		}
	}
	subject, err := subjectOf(certificate.Leaf)
	if err != nil {
		return nil, err
	}
	return &Identity{
		Subject:     subject,
		certificate: certificate,
		authority:   pool,
	}, nil
}

// Server returns the TLS configuration of a server, which requires every client to present a certificate that the
// authority signed. PeerSubject returns the subject of the client of a connection.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authority,
	}
}

// Client returns the TLS configuration of a client, which accepts only servers with an instance's certificate that the
// authority signed. If name is not empty, the certificate's subject must have that name. Servers are identified by name
// instead of host name or address, since the addresses of instances change.
func (i *Identity) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authority,
		ServerName:   name,
		// VerifyConnection verifies the chain; only the standard check of the host name is replaced.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return i.verifyServer(state, name)
		},
	}
}

// verifyServer verifies the server's certificate chain and that the server is an instance, with the given name unless that
// is empty.
func (i *Identity) verifyServer(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return &Unverified{}
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         i.authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &Unverified{
			Cause: err,
		}
	}
	return CheckInstance(state, name)
}

// CheckInstance returns nil if the peer of a connection with a verified chain is the instance of that name, or any
// instance if name is empty. The error is *Mismatch, or *Unverified if the peer presented no certificate.
func CheckInstance(state tls.ConnectionState, name string) error {
	subject, err := PeerSubject(state)
	if err != nil {
		return err
	}
	if subject.Unit != UnitInstance || (name != "" && subject.Name != name) {
		return &Mismatch{
			Want: "instance " + name,
			Got:  string(subject.Unit) + " " + subject.Name,
		}
	}
	return nil
}
