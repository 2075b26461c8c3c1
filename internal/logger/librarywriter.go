package logger

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// LibraryWriter is an io.Writer that logs the output of libraries, one debug event a write.
type LibraryWriter struct {
	// Log receives the events; nil means that the output is dropped.
	Log logrus.FieldLogger
}

// Write implements io.Writer.
func (l *LibraryWriter) Write(line []byte) (int, error) {
	if l.Log != nil {
		l.Log.WithField("detail", strings.TrimSpace(string(line))).Debug("library")
	}
	return len(line), nil
}

// CaptureStandardLog redirects the standard library's default logger, which other libraries print to, to the given log.
func CaptureStandardLog(to logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(&LibraryWriter{
		Log: to,
	})
}
