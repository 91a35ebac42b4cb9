package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/app/parser"
	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/server/runner"
)

// Build is the version of the program, set by the linker.
var Build = "dev"

// Main runs the daemon with the arguments and returns its exit code: 0 after a
// planned stop, 1 after a failure, 2 for invalid settings.
func Main(args []string, stdout, stderr io.Writer) int {
	a := kingpin.New("cactuspind", "Entry host of the cactuspin load balancer.")
	a.Version(Build)
	a.DefaultEnvars()
	a.UsageWriter(stdout)
	a.ErrorWriter(stderr)
	s := &settings{}
	s.register(a)
	_, done, err := parser.Parse(a, args)
	if done {
		return 0
	}
	if err != nil {
		return usageError(stderr, err)
	}
	c, err := s.validate()
	if err != nil {
		return usageError(stderr, err)
	}
	c.Build = Build
	c.Common = driver.Common{Logger: newLogger(s.logFormat, c.Level), Clock: driver.NewClock()}
	c.Metrics = newMetrics
	if err := run(c); err != nil {
		c.Logger.Error("host: failed", slog.Any("error", err))
		return 1
	}
	c.Logger.Info("host: stopped")
	return 0
}

func usageError(w io.Writer, err error) int {
	_, _ = io.WriteString(w, "cactuspind: "+err.Error()+"\n")
	return 2
}

func newLogger(format string, level slog.Leveler) *slog.Logger {
	o := &slog.HandlerOptions{Level: level}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// run serves until SIGTERM or SIGINT, and then performs a planned stop.
func run(c runner.Config) (err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return errors.WithStack(err)
	}
	c.Engine.Incarnation = cactuspin.Incarnation(binary.BigEndian.Uint64(seed[:]))
	c.Engine.Seed = binary.BigEndian.Uint64(seed[8:])
	c.Engine.Start = c.Clock()
	r, err := runner.New(c)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return r.Run(ctx)
}
