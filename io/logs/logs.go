// Package logs sets up the program's structured log: one line of key=value pairs
// per event. The event's name is stable and identifies the kind of the line.
//
// # Usage
//
//	log, err := logs.New(os.Stderr, "info")
//	log.WithField("instance", "entry-1").WithField("index", 12).Info("snapshotSaved")
//
// A Writer never blocks its callers. A Sampler limits the rate of lines that are
// logged per packet or request.
package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines at or above the level to w. An unknown
// level is an error.
func New(w io.Writer, level string) (*logrus.Entry, error) {
	if level == "" {
		level = "info"
	}
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(l)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: timestampFormat,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	})
	return logrus.NewEntry(logger), nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}
