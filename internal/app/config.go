package app

import (
	"io"

	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// Config configures an Instance.
type Config struct {
	// Settings are the settings, already validated.
	Settings parser.Settings
	// Identity is the TLS identity with which the instance authenticates to its peers; nil
	// means that it is loaded from the files that the settings name.
	Identity *certifier.Identity
	// Log is the destination of the log.
	Log io.Writer
}
