// Package logger creates the structured log of a process, with one line of
// key=value pairs for each event, and writers that limit or redirect output.
package logger

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures the log of a process.
type Config struct {
	// Output receives the lines.
	Output io.Writer
	// Level is the lowest level that is written, as in "info".
	Level string
	// Instance is the name of the instance, a field of every line.
	Instance string
	// Domain is the failure domain of the instance, a field of every line.
	Domain string
}

// New returns the log of one process. An invalid level counts as "info".
func New(config Config) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(config.Output)
	log.SetLevel(logrus.InfoLevel)
	if level, err := logrus.ParseLevel(config.Level); err == nil {
		log.SetLevel(level)
	}
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	return log.WithFields(logrus.Fields{
		"instance": config.Instance,
		"domain":   config.Domain,
	})
}
