package commander

import (
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// The values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// connection holds the global flags of the commands that call an instance.
type connection struct {
	server      *string
	certificate *string
	key         *string
	authority   *string
	output      *string
	id          *string
	timeout     *time.Duration
}

// addFlags defines the flags on the application, so that every command accepts them.
func (c *connection) addFlags(app *kingpin.Application) {
	c.server = app.Flag("server", "Address on which the instance serves operators.").Default("127.0.0.1:18100").Envar("BUCKTHORNGAP_SERVER").String()
	c.certificate = app.Flag("certificate", "PEM file with the operator's certificate.").Envar("BUCKTHORNGAP_CERTIFICATE").String()
	c.key = app.Flag("key", "PEM file with the operator's private key.").Envar("BUCKTHORNGAP_KEY").String()
	c.authority = app.Flag("authority", "PEM file with the certificate of the certificate authority.").Envar("BUCKTHORNGAP_AUTHORITY").String()
	c.output = app.Flag("output", "Format of results: text or json.").Default(outputText).Enum(outputText, outputJSON)
	c.id = app.Flag("id", "Identity of the act; a call repeated with the same identity is carried out only once.").String()
	c.timeout = app.Flag("timeout", "Maximum duration of a call.").Default("15s").Duration()
}

// dial returns a context that ends with the command's timeout, a client, and a function that cancels the context and
// closes the client.
func (c *connection) dial(ctx context.Context) (context.Context, *operator.Client, context.CancelFunc, error) {
	address, err := netip.ParseAddrPort(*c.server)
	if err != nil {
		return nil, nil, nil, err
	}
	identity, err := certifier.Load(parser.Identity{
		Certificate: *c.certificate,
		Key:         *c.key,
		Authority:   *c.authority,
	})
	if err != nil {
		return nil, nil, nil, err
	}
	client, err := operator.Dial(operator.ClientConfig{
		Address: address,
		TLS:     identity.Client(""),
	})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, *c.timeout)
	closeClient := func() {
		cancel()
		_ = client.Close()
	}
	return ctx, client, closeClient, nil
}

// identity returns the act's identity given by --id, or a random one.
func (c *connection) identity() string {
	if *c.id != "" {
		return *c.id
	}
	return rand.Text()
}
