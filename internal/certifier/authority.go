package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"time"
)

const (
	// serialBits is the size of the random serial numbers.
	serialBits = 120
	// validityBackdate is how far before the time of issue certificates become valid, so that peers whose clocks are
	// behind accept them.
	validityBackdate = time.Hour
)

// Pair is a PEM-encoded certificate with its private key.
type Pair struct {
	// Certificate is the certificate in PEM.
	Certificate []byte
	// Key is the private key in PEM, as PKCS #8.
	Key []byte
}

// Authority is a certificate authority that signs the certificates of instances and operators. Its private key exists
// only in memory, except that SharedAuthority keeps it in the store.
type Authority struct {
	// Certificate is the authority's own certificate in PEM.
	Certificate []byte

	parsed   *x509.Certificate
	key      *ecdsa.PrivateKey
	deadline time.Time
	now      func() time.Time
}

// NewAuthority generates an authority. Its own certificate and those that it issues are valid until the deadline. Now is
// the clock; nil means time.Now. The error is *Unusable.
func NewAuthority(deadline time.Time, now func() time.Time) (*Authority, error) {
	if now == nil {
		now = time.Now
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, newUnusable("key", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: "buckthorngap development authority",
		},
		NotBefore:             now().Add(-validityBackdate),
		NotAfter:              deadline,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, newUnusable("authority", err)
	}
	parsed, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, newUnusable("authority", err)
	}
	return &Authority{
		Certificate: encodePEM("CERTIFICATE", encoded),
		parsed:      parsed,
		key:         key,
		deadline:    deadline,
		now:         now,
	}, nil
}

// Issue generates a key and signs a certificate for the subject. The error is *Unusable.
func (a *Authority) Issue(subject Subject) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, newUnusable("key", err)
	}
	template, err := a.template(subject)
	if err != nil {
		return Pair{}, err
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.parsed, key.Public(), a.key)
	if err != nil {
		return Pair{}, newUnusable(subject.Name, err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, newUnusable(subject.Name, err)
	}
	return Pair{
		Certificate: encodePEM("CERTIFICATE", encoded),
		Key:         encodePEM("PRIVATE KEY", private),
	}, nil
}

// template returns the unsigned certificate of the subject. Certificates of operators serve only for client
// authentication; those of instances also serve for server authentication and contain the loopback addresses.
func (a *Authority) template(subject Subject) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName:         subject.Name,
			OrganizationalUnit: []string{string(subject.Unit)},
		},
		NotBefore:   a.now().Add(-validityBackdate),
		NotAfter:    a.deadline,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if subject.Unit != UnitInstance {
		return template, nil
	}
	template.Subject.Organization = []string{subject.Domain}
	template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	template.IPAddresses = []net.IP{
		netip.AddrFrom4([4]byte{127, 0, 0, 1}).AsSlice(),
		netip.IPv6Loopback().AsSlice(),
	}
	for _, address := range subject.Addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	return template, nil
}

// newSerial returns a random serial number of up to serialBits bits.
func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, newUnusable("serial", err)
	}
	return serial, nil
}

// encodePEM encodes the data as one PEM block of the given type.
func encodePEM(kind string, data []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: data,
	})
}

func newUnusable(what string, cause error) error {
	return &Unusable{
		What:  what,
		Cause: cause,
	}
}
