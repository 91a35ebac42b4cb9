package tester

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// restartTime is how long a host that restarts is away.
const restartTime = 500 * time.Millisecond

// Sizes of the faults of datagrams.
const (
	heavyLoss   = 0.4
	heavyDouble = 0.5
	heavyJitter = 600 * time.Millisecond
	slowAnswer  = 2 * time.Second
	coldTime    = 5 * time.Second
)

// strike makes a fault happen at the host or target of the current step.
func (c *cell) strike(f Fault) {
	if f.Do == "" {
		return
	}
	c.longer = max(c.longer, f.For)
	if c.strikeHost(f) || c.strikeTarget(f) || c.strikeNetwork(f) {
		return
	}
	c.strikePlatform(f)
}

func (c *cell) strikeHost(f Fault) bool {
	h, e := c.host, c.e
	switch f.Do {
	case "kill":
		h.Kill()
		e.Platform.Publish()
	case "kill_unlisted":
		h.Kill()
		e.After(f.For+stopTime, e.Platform.Publish)
	case "freeze":
		h.Freeze(f.For, true)
	case "restart":
		h.Kill()
		e.After(restartTime, h.Restart)
	case "join":
		e.AddHost(cactuspin.HostID(len(e.Hosts())+1), h.Zone)
		e.Platform.Publish()
	case "join_unheard":
		c.joinUnheard(f)
	case "stop":
		if h.Alive {
			h.Stop()
			e.After(stopTime, e.Platform.Publish)
		}
	case "deaf":
		for _, o := range e.Hosts() {
			if o != h && o.Zone == h.Zone {
				e.CutHosts(h.ID, o.ID, true)
				e.After(f.For, func() { e.CutHosts(h.ID, o.ID, false) })
			}
		}
	default:
		return false
	}
	return true
}

// joinUnheard adds a host that all but the struck one hear only later.
func (c *cell) joinUnheard(f Fault) {
	e := c.e
	id := cactuspin.HostID(len(e.Hosts()) + 1)
	for _, o := range e.Hosts() {
		if o != c.host {
			e.CutHosts(o.ID, id, true)
			e.After(f.For, func() { e.CutHosts(o.ID, id, false) })
		}
	}
	e.AddHost(id, c.host.Zone)
	e.Platform.Publish()
}

func (c *cell) strikeTarget(f Fault) bool {
	t, e := c.target, c.e
	switch f.Do {
	case "leave":
		e.Platform.MarkTargetLeaving(t.Address)
	case "cold":
		t.Restart(coldTime)
	case "shed":
		t.Shed = true
		e.After(f.For, func() { t.Shed = false })
	case "freeze_target":
		t.Freeze(f.For)
	case "target_down":
		t.SetDown(true)
		e.After(f.For, func() { t.SetDown(false) })
	case "silence_target":
		t.BlackholeConnections()
	default:
		return false
	}
	return true
}

func (c *cell) strikeNetwork(f Fault) bool {
	e := c.e
	switch f.Do {
	case "loss":
		e.DegradeNetwork(heavyLoss, 0, 0, f.For)
	case "double":
		e.DegradeNetwork(0, heavyDouble, 0, f.For)
	case "delay":
		e.DegradeNetwork(0, 0, heavyJitter, f.For)
	case "silence_caller":
		if c.feed != nil {
			c.feed.BlackholePath()
		} else if c.caller != nil {
			c.caller.Move()
		}
	case "cut_zone":
		z := c.host.Zone
		for _, o := range zones {
			if o != z {
				e.Cut(z, o, true)
				e.After(f.For, func() { e.Cut(z, o, false) })
			}
		}
	case "cut_pair":
		c.cutPair(f)
	case "cut_platform":
		z := c.host.Zone
		e.CutPlatform(z, true)
		e.After(f.For, func() { e.CutPlatform(z, false) })
	default:
		return false
	}
	return true
}

// cutPair cuts the struck host's zone off from one other; the third hears both.
func (c *cell) cutPair(f Fault) {
	other := zones[0]
	if c.host.Zone == other {
		other = zones[1]
	}
	z := c.host.Zone
	c.e.Cut(z, other, true)
	c.e.After(f.For, func() { c.e.Cut(z, other, false) })
}

func (c *cell) strikePlatform(f Fault) {
	p, e := c.e.Platform, c.e
	switch f.Do {
	case "platform_down":
		p.Outage(f.For)
	case "platform_slow":
		p.Slow = slowAnswer
		e.After(f.For, func() { p.Slow = 0 })
	case "platform_lose":
		p.LoseAnswers = 1
	case "platform_stale":
		p.Stale = true
		e.After(f.For, func() { p.Stale = false })
	case "race":
		c.race()
	default:
		e.Oracle.Fail("no fault is called %q", f.Do)
	}
}
