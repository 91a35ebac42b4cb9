package tester

import (
	"time"

	"github.com/cactuspin/cactuspin"
)

// restartTime is how long a restarting host is down.
const restartTime = 500 * time.Millisecond

// Parameters of the faults.
const (
	heavyLoss        = 0.4
	heavyDuplication = 0.5
	heavyJitter      = 600 * time.Millisecond
	slowAnswerDelay  = 2 * time.Second
	coldTime         = 5 * time.Second
)

// inject injects a fault at the host and the target of the current step.
func (c *cell) inject(f Fault) {
	if f.Do == "" {
		return
	}
	c.extraTime = max(c.extraTime, f.For)
	if c.injectHostFault(f) || c.injectTargetFault(f) || c.injectNetworkFault(f) {
		return
	}
	c.injectPlatformFault(f)
}

func (c *cell) injectHostFault(f Fault) bool {
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
		c.joinPartitioned(f)
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

// joinPartitioned adds a host that, for the duration of the fault, exchanges messages only
// with the host of the current step.
func (c *cell) joinPartitioned(f Fault) {
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

func (c *cell) injectTargetFault(f Fault) bool {
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

func (c *cell) injectNetworkFault(f Fault) bool {
	e := c.e
	switch f.Do {
	case "loss":
		e.DegradeNetwork(heavyLoss, 0, 0, f.For)
	case "double":
		e.DegradeNetwork(0, heavyDuplication, 0, f.For)
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

// cutPair partitions the zone of the current host from one other zone; the third zone
// still reaches both.
func (c *cell) cutPair(f Fault) {
	other := zones[0]
	if c.host.Zone == other {
		other = zones[1]
	}
	z := c.host.Zone
	c.e.Cut(z, other, true)
	c.e.After(f.For, func() { c.e.Cut(z, other, false) })
}

func (c *cell) injectPlatformFault(f Fault) {
	p, e := c.e.Platform, c.e
	switch f.Do {
	case "platform_down":
		p.Outage(f.For)
	case "platform_slow":
		p.Slow = slowAnswerDelay
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
