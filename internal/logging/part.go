// Package logging writes logfmt lines. Each message starts with a fixed prefix that names
// the part of the daemon that logs it.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

// Level is the lowest severity that is logged. The empty Level means LevelInfo.
type Level string

// The levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// New returns the root logger of a process. It writes logfmt lines of minLevel and above
// to w.
func New(w io.Writer, minLevel Level) (log.Logger, error) {
	option, err := levelOption(minLevel)
	if err != nil {
		return nil, err
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, option), nil
}

func levelOption(minLevel Level) (level.Option, error) {
	switch minLevel {
	case LevelDebug:
		return level.AllowDebug(), nil
	case LevelInfo, "":
		return level.AllowInfo(), nil
	case LevelWarn:
		return level.AllowWarn(), nil
	case LevelError:
		return level.AllowError(), nil
	}
	return nil, trace.BadParameter("log level %q is none of debug, info, warn, error", minLevel)
}

// Part is the logger of one part of the daemon. The zero Part logs nothing.
type Part struct {
	logger log.Logger
	prefix string
}

// NewPart returns the Part named name, whose messages start with "name: ".
func NewPart(logger log.Logger, name string) Part {
	return Part{logger: logger, prefix: name + ": "}
}

// Debug logs details that help to find a fault.
func (p Part) Debug(message string, keyvals ...any) { p.write(level.Debug, message, keyvals) }

// Info logs normal operation.
func (p Part) Info(message string, keyvals ...any) { p.write(level.Info, message, keyvals) }

// Warn logs a fault that the system handles by itself.
func (p Part) Warn(message string, keyvals ...any) { p.write(level.Warn, message, keyvals) }

// Error logs a fault that an operator must look at.
func (p Part) Error(message string, keyvals ...any) { p.write(level.Error, message, keyvals) }

func (p Part) write(severity func(log.Logger) log.Logger, message string, keyvals []any) {
	if p.logger == nil {
		return
	}
	line := append([]any{"msg", p.prefix + message}, keyvals...)
	// A failed log write can't be reported.
	_ = severity(p.logger).Log(line...)
}
