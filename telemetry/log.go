package telemetry

import (
	"fmt"
	"io"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
)

// logTimeFormat is RFC 3339 in UTC with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z"

// LogOptions configure NewLogger.
type LogOptions struct {
	// Level is debug, info, warn or error; empty means info.
	Level string
	// Format is json or console; empty means json.
	Format string
	// Role and Name are added to each line.
	Role string
	Name string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// NewLogger returns a logger that writes to w, one call of Write per line.
func NewLogger(w io.Writer, o LogOptions) (zerolog.Logger, error) {
	if o.Level == "" {
		o.Level = zerolog.LevelInfoValue
	}
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level: %w", err)
	}
	switch o.Format {
	case "", "json":
	case "console":
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: logTimeFormat, TimeLocation: time.UTC}
	default:
		return zerolog.Nop(), fmt.Errorf("log format %q: allowed: json, console", o.Format)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	logger := zerolog.New(w).Level(level).Hook(timestampHook{o.Now})
	return logger.With().Str("role", o.Role).Str("name", o.Name).Logger(), nil
}

// timestampHook adds the time to each line. The time format of zerolog is a global
// variable, which process instances in one program would share.
type timestampHook struct{ now func() time.Time }

// Run implements zerolog.Hook.
func (h timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, h.now().UTC().Format(logTimeFormat))
}

// maxStateLogSubjects limits the subjects whose last state a StateLog remembers. The
// least recently used one is evicted, and its next report is logged again.
const maxStateLogSubjects = 2048

// StateLog logs a line only when the state of a subject changes, so that a
// persistent failure does not flood the log; counters show how often it occurs. It
// is safe for concurrent use.
type StateLog struct {
	logger  zerolog.Logger
	states  *lru.Cache[string, string]
	changed func(StateChange)
}

// NewStateLog returns a StateLog that writes to logger. The function changed, if
// not nil, is called for each logged change.
func NewStateLog(logger zerolog.Logger, changed func(StateChange)) *StateLog {
	states, err := lru.New[string, string](maxStateLogSubjects)
	if err != nil {
		panic("telemetry: maxStateLogSubjects must be positive")
	}
	if changed == nil {
		changed = func(StateChange) {}
	}
	return &StateLog{logger: logger, states: states, changed: changed}
}

// StateChange reports the state of a subject.
type StateChange struct {
	// Subject names what has the state, such as "endpoint engine-a3".
	Subject string
	State   string
	// Cause is the error or reason; empty when none is known.
	Cause string
	// Warn raises the line's level from info to warn.
	Warn bool
}

// Report logs c unless the state of the subject is unchanged.
func (s *StateLog) Report(c StateChange) {
	old, known := s.states.Get(c.Subject)
	if known && old == c.State {
		return
	}
	s.states.Add(c.Subject, c.State)
	event := s.logger.Info()
	if c.Warn {
		event = s.logger.Warn()
	}
	event = event.Str("subject", c.Subject).Str("state", c.State)
	if known {
		event = event.Str("previous", old)
	}
	if c.Cause != "" {
		event = event.Str("cause", c.Cause)
	}
	event.Msg("state changed")
	s.changed(c)
}
