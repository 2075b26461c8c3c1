package logger

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// Lines writes what libraries print to the log, for developers.
type Lines struct {
	// Log gets the lines; nil means that they are dropped.
	Log logrus.FieldLogger
}

// Write implements io.Writer.
func (l *Lines) Write(line []byte) (int, error) {
	if l.Log != nil {
		l.Log.WithField("detail", strings.TrimSpace(string(line))).Debug("library")
	}
	return len(line), nil
}

// Capture sends what libraries print to the process's standard log to a log.
func Capture(to logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(&Lines{
		Log: to,
	})
}
