// Package prober checks whether targets that left packets unanswered are alive,
// that is, whether their addresses accept a TCP connection. It sends nothing on
// the connection, so a probe occupies no slot of the target. It opens connections
// and reads their state from the kernel; the examiner decides.
package prober

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cactuspin/cactuspin/internal/server/driver"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
	"github.com/cactuspin/cactuspin/internal/steering/examiner"
)

// queueLength is the number of requested probes that wait for the prober. Further
// ones are dropped; the balancer requests them again.
const queueLength = 512

// Config configures a Prober.
type Config struct {
	driver.Common
	// Report takes the result of each probe.
	Report func(examiner.Result)
}

// Prober probes targets.
type Prober struct {
	cfg      Config
	queue    chan balancer.Probe
	done     chan error
	examiner *examiner.Examiner
	sockets  map[examiner.AttemptID]int
	// failed holds the attempts whose connection could not be opened, with the state
	// that this shows.
	failed map[examiner.AttemptID]examiner.AttemptState
}

// New returns a Prober.
func New(c Config) *Prober {
	return &Prober{
		cfg: c, queue: make(chan balancer.Probe, queueLength), done: make(chan error, 1), examiner: examiner.New(),
		sockets: map[examiner.AttemptID]int{}, failed: map[examiner.AttemptID]examiner.AttemptState{},
	}
}

// Start probes until the context ends, which is reported on Done.
func (p *Prober) Start(ctx context.Context) { go func() { p.done <- p.run(ctx) }() }

// Done returns the channel that reports the end of probing.
func (p *Prober) Done() <-chan error { return p.done }

// Probe requests a probe, whose result is reported.
func (p *Prober) Probe(probe balancer.Probe) {
	select {
	case p.queue <- probe:
	default:
		p.cfg.Logger.Warn("target: probe dropped", slog.String("target", string(probe.Target)))
	}
}

func (p *Prober) run(ctx context.Context) error {
	defer p.closeAll()
	ticker := time.NewTicker(examiner.LookInterval)
	defer ticker.Stop()
	ticker.Stop()
	for {
		wasBusy := p.examiner.Busy()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case probe := <-p.queue:
			p.examiner.Add(probe)
		case <-ticker.C:
		}
		p.drainQueue()
		p.step()
		switch busy := p.examiner.Busy(); {
		case busy && !wasBusy:
			ticker.Reset(examiner.LookInterval)
		case !busy:
			ticker.Stop()
		}
	}
}

// drainQueue adds all requested probes, so that many take one step.
func (p *Prober) drainQueue() {
	for {
		select {
		case probe := <-p.queue:
			p.examiner.Add(probe)
		default:
			return
		}
	}
}

// step looks at all connections, performs the examiner's actions and passes its
// results on.
func (p *Prober) step() {
	// The time is taken before the look, so that a pause between the two counts for
	// the target.
	now := p.cfg.Clock()
	out := p.examiner.Step(now, p.look())
	for _, id := range out.Closes {
		p.close(id)
	}
	for _, c := range out.Connects {
		p.connect(c)
	}
	for _, r := range out.Results {
		p.cfg.Report(r)
	}
}

// connect starts to open a connection.
func (p *Prober) connect(c examiner.Connect) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		p.fail(c, err)
		return
	}
	err = unix.Connect(socket, &unix.SockaddrInet4{Port: int(c.Address.Port()), Addr: c.Address.Addr().As4()})
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(socket)
		p.fail(c, err)
		return
	}
	p.sockets[c.ID] = socket
}

func (p *Prober) fail(c examiner.Connect, err error) {
	p.failed[c.ID] = stateOf(err)
	if p.failed[c.ID] == examiner.AttemptFailed {
		p.cfg.Logger.Warn("target: not probed", slog.String("address", c.Address.String()), slog.Any("error", err))
	}
}

// look returns the states of all attempts.
func (p *Prober) look() (looks []examiner.Look) {
	for id, state := range p.failed {
		looks = append(looks, examiner.Look{ID: id, State: state})
	}
	ids := make([]examiner.AttemptID, 0, len(p.sockets))
	polled := make([]unix.PollFd, 0, len(p.sockets))
	for id, socket := range p.sockets {
		ids = append(ids, id)
		polled = append(polled, unix.PollFd{Fd: int32(socket), Events: unix.POLLOUT})
	}
	if len(polled) == 0 {
		return looks
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		p.cfg.Logger.Warn("target: connections not polled", slog.Any("error", err))
		return looks
	}
	for i, id := range ids {
		looks = append(looks, examiner.Look{ID: id, State: p.stateOfSocket(&polled[i])})
	}
	return looks
}

func (p *Prober) stateOfSocket(polled *unix.PollFd) examiner.AttemptState {
	if polled.Revents == 0 {
		return examiner.AttemptPending
	}
	code, err := unix.GetsockoptInt(int(polled.Fd), unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return examiner.AttemptFailed
	}
	if code != 0 {
		return stateOf(unix.Errno(code))
	}
	return examiner.AttemptConnected
}

// stateOf returns the state of an attempt that ended with an error.
func stateOf(err error) examiner.AttemptState {
	if errors.Is(err, unix.ECONNREFUSED) {
		return examiner.AttemptRefused
	}
	return examiner.AttemptFailed
}

func (p *Prober) close(id examiner.AttemptID) {
	if socket, ok := p.sockets[id]; ok {
		_ = unix.Close(socket)
	}
	delete(p.sockets, id)
	delete(p.failed, id)
}

func (p *Prober) closeAll() {
	for id := range p.sockets {
		p.close(id)
	}
}
