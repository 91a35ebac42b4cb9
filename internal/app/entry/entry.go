// Package entry assembles an entry host of the packet path.
package entry

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/app/parser"
	"github.com/cactuspin/cactuspin/internal/entry/writer"
	"github.com/cactuspin/cactuspin/platform"
)

// Build is the version of the program, set by the linker.
var Build = "dev"

// options holds the command-line settings, which are not part of the platform's
// settings file.
type options struct {
	settings    string
	level       slog.Level
	metricsPort uint16
}

// Main runs the host with the arguments and returns its exit code: 0 after a
// planned stop or a request for help, 1 after a failure, 2 for invalid settings.
func Main(args []string, stdout, stderr io.Writer) int {
	// Register for signals first, as a signal that is not caught ends the process.
	signals := catchSignals()
	a := kingpin.New("cactuspin-entry", "Entry host of cactuspin's packet path.")
	a.Version(Build)
	a.DefaultEnvars()
	a.UsageWriter(stdout)
	a.ErrorWriter(stderr)
	var o options
	var level string
	a.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().StringVar(&o.settings)
	a.Flag("log-level", "Lowest level that is logged: debug, info, warn or error.").Default("info").EnumVar(&level, "debug", "info", "warn", "error")
	a.Flag("metrics-port", "Port that serves the metrics at the path /metrics; 0 disables them.").Default("9464").Uint16Var(&o.metricsPort)
	_, done, err := parser.Parse(a, args)
	if done {
		return 0
	}
	if err != nil {
		return usageError(stderr, err)
	}
	if err := o.level.UnmarshalText([]byte(level)); err != nil {
		return usageError(stderr, err)
	}
	f := platform.NewSettingsFile(o.settings)
	s, err := f.Load()
	if err != nil {
		return usageError(stderr, err)
	}
	return run(&o, f, &s, signals, stdout)
}

// signals receives the signals that the platform sends to the process.
type signals struct {
	// stop requests a planned stop, reload reports that the settings have changed.
	stop, reload chan os.Signal
}

func catchSignals() (s signals) {
	s.stop, s.reload = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func usageError(w io.Writer, err error) int {
	_, _ = io.WriteString(w, "cactuspin-entry: "+err.Error()+"\n")
	return 2
}

// run serves until SIGTERM or SIGINT, and then performs a planned stop.
func run(o *options, f *platform.SettingsFile, s *platform.Settings, signals signals, stdout io.Writer) int {
	w := writer.New(stdout)
	logger := newLogger(w, o.level)
	logCtx, stopLogging := context.WithCancel(context.Background())
	w.Start(logCtx)
	err := serve(o, f, s, signals, logger, w)
	if err != nil {
		logger.Error("host: failed", slog.Any("error", err))
	} else {
		logger.Info("host: stopped")
	}
	stopLogging()
	if writeErr := <-w.Done(); err != nil || writeErr != nil {
		return 1
	}
	return 0
}

func serve(o *options, f *platform.SettingsFile, s *platform.Settings, signals signals, logger *slog.Logger, w *writer.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "entry host") }()
	h, err := newHost(o, f, s, logger, w)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.start(ctx)
	logger.Info("host: started", slog.String("host", s.Name), slog.String("zone", string(s.Zone)), slog.String("packets", s.PacketAddress.String()), slog.String("build", Build))
	ended := h.ended()
	for {
		select {
		case <-signals.reload:
			h.reload(true)
		case <-signals.stop:
			return h.drain(ended)
		case err := <-ended:
			return err
		}
	}
}
