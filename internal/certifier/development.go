package certifier

import (
	"os"
	"path/filepath"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
)

const (
	// developmentLifetime is the default validity period of a development set.
	developmentLifetime = 365 * 24 * time.Hour
	authorityFile       = "authority.pem"
)

// Config configures WriteDevelopment.
type Config struct {
	// Directory is the directory for the files; it is created if it does not exist.
	Directory string
	// Instances are the instances that get a certificate; WriteDevelopment sets their Unit.
	Instances []Subject
	// Operators are the names of the operators that get a certificate.
	Operators []string
	// Deadline is when the certificates expire; zero means a year from now.
	Deadline time.Time
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Files returns the paths of the files that WriteDevelopment writes for the instance or operator of that name.
func Files(directory, name string) parser.Identity {
	return parser.Identity{
		Certificate: filepath.Join(directory, name+".pem"),
		Key:         filepath.Join(directory, name+".key"),
		Authority:   filepath.Join(directory, authorityFile),
	}
}

// WriteDevelopment generates an authority, issues a certificate for each instance and operator, and writes them as PEM
// files at the paths that Files returns. The authority's key is not kept, so no further certificate can be added to the
// set. The error is *Unusable.
func WriteDevelopment(config Config) error {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Deadline.IsZero() {
		config.Deadline = config.Now().Add(developmentLifetime)
	}
	authority, err := NewAuthority(config.Deadline, config.Now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return newUnusable("directory", err)
	}
	if err := os.WriteFile(filepath.Join(config.Directory, authorityFile), authority.Certificate, 0o644); err != nil {
		return newUnusable(authorityFile, err)
	}
	for _, subject := range config.subjects() {
		if err := authority.write(config.Directory, subject); err != nil {
			return err
		}
	}
	return nil
}

// subjects returns the subjects of all certificates of the set, instances first.
func (c Config) subjects() []Subject {
	subjects := make([]Subject, 0, len(c.Instances)+len(c.Operators))
	for _, instance := range c.Instances {
		instance.Unit = UnitInstance
		subjects = append(subjects, instance)
	}
	for _, name := range c.Operators {
		subjects = append(subjects, Subject{
			Name: name,
			Unit: UnitOperator,
		})
	}
	return subjects
}

// write issues a certificate for the subject and writes it with its key; only the owner may read the key's file.
func (a *Authority) write(directory string, subject Subject) error {
	pair, err := a.Issue(subject)
	if err != nil {
		return err
	}
	files := Files(directory, subject.Name)
	if err := os.WriteFile(files.Certificate, pair.Certificate, 0o644); err != nil {
		return newUnusable(files.Certificate, err)
	}
	if err := os.WriteFile(files.Key, pair.Key, 0o600); err != nil {
		return newUnusable(files.Key, err)
	}
	return nil
}

// NewIdentity issues a certificate for the subject and returns it as an Identity, without any files. The error is
// *Unusable, or *Mismatch for an invalid subject.
func (a *Authority) NewIdentity(subject Subject) (*Identity, error) {
	pair, err := a.Issue(subject)
	if err != nil {
		return nil, err
	}
	return Parse(pair, a.Certificate)
}
