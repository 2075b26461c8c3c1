package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
)

// Unit is the organizational unit of a certificate; it distinguishes instances from operators.
type Unit string

// The valid units.
const (
	// UnitInstance is the unit of instances of buckthorngap.
	UnitInstance Unit = "instance"
	// UnitOperator is the unit of persons and programs that operate buckthorngap.
	UnitOperator Unit = "operator"
)

// Subject identifies the instance or operator that a certificate is issued to.
type Subject struct {
	// Name is the instance's or operator's name.
	Name string
	// Domain is the instance's failure domain; empty for operators.
	Domain string
	// Unit is UnitInstance or UnitOperator.
	Unit Unit
	// Addresses are IP addresses to include in the certificate of an instance, beside the loopback addresses. They are
	// used only by Issue; PeerSubject leaves them empty.
	Addresses []netip.Addr
}

// PeerSubject returns the subject of a connection's peer. It does not verify the chain: the connection must have been
// made with a TLS configuration of an Identity, which does. The error is *Unverified if the peer presented no
// certificate, and *Mismatch if the peer is neither an instance nor an operator.
func PeerSubject(state tls.ConnectionState) (Subject, error) {
	if len(state.PeerCertificates) == 0 {
		return Subject{}, &Unverified{}
	}
	return subjectOf(state.PeerCertificates[0])
}

// subjectOf returns the subject of a certificate, or *Mismatch if it is neither an instance nor an operator.
func subjectOf(certificate *x509.Certificate) (Subject, error) {
	subject := Subject{
		Name: certificate.Subject.CommonName,
	}
	if units := certificate.Subject.OrganizationalUnit; len(units) == 1 {
		subject.Unit = Unit(units[0])
	}
	if domains := certificate.Subject.Organization; len(domains) == 1 {
		subject.Domain = domains[0]
	}
	if subject.Name == "" || !subject.valid() {
		return Subject{}, &Mismatch{
			Want: "an instance or operator",
			Got:  certificate.Subject.String(),
		}
	}
	return subject, nil
}

// valid reports whether the unit is a known one and an instance has a failure domain.
func (s Subject) valid() bool {
	return s.Unit == UnitOperator || (s.Unit == UnitInstance && s.Domain != "")
}
