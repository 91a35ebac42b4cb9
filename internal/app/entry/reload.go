package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/entry/engine"
	"github.com/cactuspin/cactuspin/platform"
)

// settingsInterval is how often the settings file is checked, as it may change
// without a signal. Seconds are enough, as bounds and the store's address rarely
// change.
const settingsInterval = 2 * time.Second

// settingsChange lists the differences between the settings in force and new ones.
type settingsChange struct {
	// applied names the changes that take effect while the host runs, ignored those
	// that need a restart.
	applied, ignored []string
}

// dynamicConfig returns the part of the engine's configuration that can change
// while it runs.
func dynamicConfig(s *platform.Settings) engine.DynamicConfig {
	staleness := min(s.MaxApplyDelay, s.MaxDrainDelay)
	if s.MaxEvacuationDelay > 0 {
		staleness = min(staleness, s.MaxEvacuationDelay)
	}
	return engine.DynamicConfig{Seeds: s.Seeds, MaxStaleness: staleness, Evacuations: s.MaxEvacuationDelay > 0}
}

func compareSettings(old, next *platform.Settings) (c settingsChange) {
	addUnless := func(names *[]string, name string, same bool) {
		if !same {
			*names = append(*names, name)
		}
	}
	addUnless(&c.applied, "store", old.StoreAddress == next.StoreAddress)
	addUnless(&c.applied, "seeds", slices.Equal(old.Seeds, next.Seeds))
	addUnless(&c.applied, "bounds", old.MaxApplyDelay == next.MaxApplyDelay && old.MaxDrainDelay == next.MaxDrainDelay && old.MaxEvacuationDelay == next.MaxEvacuationDelay)
	addUnless(&c.applied, "stop_within", old.StopGracePeriod == next.StopGracePeriod)
	addUnless(&c.applied, "name", old.Name == next.Name)
	addUnless(&c.ignored, "zone", old.Zone == next.Zone)
	addUnless(&c.ignored, "addresses", old.IP == next.IP && old.PacketAddress == next.PacketAddress && old.ReadinessAddress == next.ReadinessAddress && old.AdminAddress == next.AdminAddress)
	addUnless(&c.ignored, "peer_ports", old.PeerPort == next.PeerPort && old.KnowledgePort == next.KnowledgePort)
	return c
}

// watchSettings polls the settings file until the context ends.
func (h *host) watchSettings(ctx context.Context) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.reload(false)
		}
	}
}

// reload applies the settings file as far as possible without a restart. An invalid
// file changes nothing. Without a signal, only changes are logged.
func (h *host) reload(signal bool) {
	h.reloadMu.Lock()
	defer h.reloadMu.Unlock()
	text, err := h.settingsFile.Read()
	wasUnreadable := h.settingsUnreadable
	if h.settingsUnreadable = err != nil; err != nil {
		if signal || !wasUnreadable {
			h.common.Logger.Error("host: settings not reloaded", slog.Any("error", err))
		}
		return
	}
	if !signal && !h.settingsFile.Changed(text) {
		return
	}
	s, err := h.settingsFile.Parse(text)
	if err != nil {
		h.common.Logger.Error("host: settings not reloaded", slog.Any("error", err))
		return
	}
	h.apply(&s, signal)
}

// apply applies new settings, except the zone and the listen addresses, which stay
// until a restart.
func (h *host) apply(s *platform.Settings, signal bool) {
	old := h.settings.Load()
	c := compareSettings(old, s)
	next := *old
	next.Name, next.StoreAddress, next.Seeds = s.Name, s.StoreAddress, s.Seeds
	next.MaxApplyDelay, next.MaxDrainDelay, next.StopGracePeriod = s.MaxApplyDelay, s.MaxDrainDelay, s.StopGracePeriod
	next.MaxEvacuationDelay = s.MaxEvacuationDelay
	h.settings.Store(&next)
	if next.StoreAddress != old.StoreAddress {
		h.storeClient.SetStores(platform.NewStore(next.StoreAddress, h.common.Logger), platform.NewStore(next.StoreAddress, h.common.Logger))
	}
	h.handle(func(_ cactuspin.Time, _ *engine.Actions) { h.engine.Reconfigure(dynamicConfig(&next)) })
	h.common.Logger.Info("host: settings reloaded", slog.Bool("signal", signal), slog.Any("applied", c.applied), slog.Any("ignored", c.ignored))
}
