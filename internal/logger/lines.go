package logger

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// Lines is an io.Writer that logs the output of libraries, one debug event a write.
type Lines struct {
	// Log receives the events; nil means that the output is dropped.
	Log logrus.FieldLogger
}

// Write implements io.Writer.
func (l *Lines) Write(line []byte) (int, error) {
	if l.Log != nil {
		l.Log.WithField("detail", strings.TrimSpace(string(line))).Debug("library")
	}
	return len(line), nil
}

// Capture redirects the standard library's default logger, which other libraries print to, to the given log.
func Capture(to logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(&Lines{
		Log: to,
	})
}
