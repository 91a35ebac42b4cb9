package entry

import (
	"context"
	"io"
	"log/slog"
)

// newLogger returns a logger that writes errors as their messages, so that the cause is
// readable in one line. At debug level they have their stack traces.
func newLogger(w io.Writer, level slog.Level) *slog.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	if level <= slog.LevelDebug {
		return slog.New(h)
	}
	return slog.New(errorHandler{Handler: h})
}

// errorHandler replaces the errors of records by their messages. It leaves other records
// alone, since most lines have no error and are written for each flow.
type errorHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h errorHandler) Handle(ctx context.Context, r slog.Record) error {
	found := false
	r.Attrs(func(a slog.Attr) bool {
		found = isError(a.Value)
		return !found
	})
	if !found {
		return h.Handler.Handle(ctx, r)
	}
	replaced := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if isError(a.Value) {
			a.Value = slog.StringValue(a.Value.Any().(error).Error())
		}
		replaced.AddAttrs(a)
		return true
	})
	return h.Handler.Handle(ctx, replaced)
}

func isError(v slog.Value) bool {
	if v.Kind() != slog.KindAny {
		return false
	}
	_, ok := v.Any().(error)
	return ok
}
