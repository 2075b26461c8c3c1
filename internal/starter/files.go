package starter

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// certificateLife is the validity period of a site's certificates.
const certificateLife = 24 * time.Hour

// settingsFile returns the path of an instance's settings file.
func (s *Site) settingsFile(name string) string {
	return filepath.Join(s.config.Directory, name+".json")
}

// writeCertificates writes the certificates of all instances and of the operator.
func (s *Site) writeCertificates(context.Context) error {
	var subjects []certifier.Subject
	for _, instance := range s.Instances {
		subjects = append(subjects, certifier.Subject{
			Name:      instance.Name,
			Domain:    instance.Domain,
			Addresses: []netip.Addr{loopback},
		})
	}
	return certifier.WriteDevelopment(certifier.Config{
		Directory: s.config.Directory,
		Instances: subjects,
		Operators: []string{OperatorName},
		Deadline:  time.Now().Add(certificateLife),
	})
}

// writeSettings writes an instance's settings file. Peers reach the instance
// at the advertised address and the instance reaches the platform at the given
// one; both belong to relays that can be partitioned.
func (s *Site) writeSettings(instance *Process, advertised, platform netip.AddrPort) error {
	settings := parser.Default()
	settings.Name = instance.Name
	settings.Domain = instance.Domain
	settings.Callers.Listen = instance.Callers
	settings.Peers.Listen = s.peers[instance.Name]
	settings.Peers.Advertise = advertised
	settings.Peers.Identity = certifier.Files(s.config.Directory, instance.Name)
	settings.Operators.Listen = instance.Operators
	settings.Admin.Listen = instance.Admin
	settings.Platform.URL = "http://" + platform.String()
	settings.Limits.Domains = nil
	for _, domain := range s.config.Domains {
		settings.Limits.Domains = append(settings.Limits.Domains, domain.Name)
		if domain.Name == instance.Domain {
			settings.Limits.Instances = domain.Instances
		}
	}
	if s.config.Settings != nil {
		s.config.Settings(&settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.settingsFile(instance.Name), data, logMode)
}
