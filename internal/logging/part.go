// Package logging writes short logfmt sentences, each with a fixed prefix for
// the part of the daemon that speaks.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

// Level names the least severe sentences that are written.
type Level string

// The levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// New makes the root logger of a process: logfmt lines on w.
func New(w io.Writer, least Level) (log.Logger, error) {
	option, err := filter(least)
	if err != nil {
		return nil, err
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, option), nil
}

func filter(least Level) (level.Option, error) {
	switch least {
	case LevelDebug:
		return level.AllowDebug(), nil
	case LevelInfo, "":
		return level.AllowInfo(), nil
	case LevelWarn:
		return level.AllowWarn(), nil
	case LevelError:
		return level.AllowError(), nil
	}
	return nil, trace.BadParameter("log level %q is none of debug, info, warn, error", least)
}

// Part speaks for one part of the daemon. The zero Part is silent.
type Part struct {
	logger log.Logger
	prefix string
}

// For makes the Part named name; its sentences begin with "name: ".
func For(logger log.Logger, name string) Part {
	return Part{logger: logger, prefix: name + ": "}
}

// Debug writes a sentence of interest when looking for a fault.
func (p Part) Debug(sentence string, keyvals ...any) { p.say(level.Debug, sentence, keyvals) }

// Info writes a sentence on the ordinary course of things.
func (p Part) Info(sentence string, keyvals ...any) { p.say(level.Info, sentence, keyvals) }

// Warn writes a sentence on a fault that the system handles.
func (p Part) Warn(sentence string, keyvals ...any) { p.say(level.Warn, sentence, keyvals) }

// Error writes a sentence on a fault that an operator must look at.
func (p Part) Error(sentence string, keyvals ...any) { p.say(level.Error, sentence, keyvals) }

func (p Part) say(severity func(log.Logger) log.Logger, sentence string, keyvals []any) {
	if p.logger == nil {
		return
	}
	line := append([]any{"msg", p.prefix + sentence}, keyvals...)
	// A log line that can't be written has nowhere to be reported.
	_ = severity(p.logger).Log(line...)
}
