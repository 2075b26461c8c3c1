package commander

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/inspector"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// certificateLifetime is the validity period of the certificates written by "certs".
const certificateLifetime = 90 * 24 * time.Hour

// addOfflineCommands adds the commands that need no running instance.
func (c *Commander) addOfflineCommands() {
	c.addCheckCommand()

	certs := c.app.Command("certs", "Write a set of certificates for development.")
	directory := certs.Flag("directory", "Directory to write the files to.").Required().String()
	instances := certs.Flag("instance", "Instance as name=domain; may be repeated.").Required().StringMap()
	operators := certs.Flag("operator", "Name of an operator; may be repeated.").Strings()
	c.register(certs, func(context.Context) error {
		return c.writeCertificates(*directory, *instances, *operators)
	})
}

// addCheckCommand adds the command that checks an exported configuration or a settings file.
func (c *Commander) addCheckCommand() {
	clause := c.app.Command("check", "Check an exported configuration, or a settings file, without an instance.")
	settings := clause.Flag("settings", "Settings file, in JSON with comments.").String()
	configuration := inspector.NewCommand(clause, inspector.New(inspector.Config{
		Decode: configurator.DecodeArchive,
	}), c.invocation.Output)
	clause.Validate(func(*kingpin.CmdClause) error {
		if (*settings == "") == (configuration.File() == "") {
			return &ambiguousCheck{}
		}
		return nil
	})
	c.register(clause, func(ctx context.Context) error {
		if *settings == "" {
			return configuration.Run(ctx)
		}
		return c.checkSettings(*settings)
	})
}

// checkSettings reads a settings file and prints a summary.
func (c *Commander) checkSettings(file string) error {
	settings, err := parser.Load(file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.invocation.Output, "settings=%s instance=%s domain=%s result=ok\n", file, settings.Name, settings.Domain)
	return err
}

// writeCertificates writes the development certificates of instances on 127.0.0.1 and of operators, and prints a summary.
func (c *Commander) writeCertificates(directory string, instances map[string]string, operators []string) error {
	subjects := make([]certifier.Subject, 0, len(instances))
	for name, domain := range instances {
		subjects = append(subjects, certifier.Subject{
			Name:      name,
			Domain:    domain,
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{127, 0, 0, 1})},
		})
	}
	err := certifier.WriteDevelopment(certifier.Config{
		Directory: directory,
		Instances: subjects,
		Operators: operators,
		Deadline:  time.Now().Add(certificateLifetime),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.invocation.Output, "directory=%s instances=%d operators=%s result=ok\n",
		directory, len(subjects), strings.Join(operators, ","))
	return err
}
