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

// settingsInterval is how often the settings file is looked at: it may change
// without a signal. Bounds and the store's address change rarely.
const settingsInterval = 2 * time.Second

// settingsChange says what differs between the settings in force and new ones.
type settingsChange struct {
	// applied names what is taken over while the host runs, ignored what a host
	// keeps until it starts again.
	applied, ignored []string
}

// tuningOf returns the settings that can change while the engine runs.
func tuningOf(s *platform.Settings) engine.DynamicConfig {
	return engine.DynamicConfig{Seeds: s.Seeds, MaxStaleness: min(s.MaxApplyDelay, s.MaxDrainDelay)}
}

func compare(old, next *platform.Settings) (c settingsChange) {
	note := func(names *[]string, name string, same bool) {
		if !same {
			*names = append(*names, name)
		}
	}
	note(&c.applied, "store", old.StoreAddress == next.StoreAddress)
	note(&c.applied, "seeds", slices.Equal(old.Seeds, next.Seeds))
	note(&c.applied, "bounds", old.MaxApplyDelay == next.MaxApplyDelay && old.MaxDrainDelay == next.MaxDrainDelay)
	note(&c.applied, "stop_within", old.StopGracePeriod == next.StopGracePeriod)
	note(&c.applied, "name", old.Name == next.Name)
	note(&c.ignored, "zone", old.Zone == next.Zone)
	note(&c.ignored, "addresses", old.IP == next.IP && old.PacketAddress == next.PacketAddress && old.ReadinessAddress == next.ReadinessAddress && old.AdminAddress == next.AdminAddress)
	note(&c.ignored, "peer_ports", old.PeerPort == next.PeerPort && old.KnowledgePort == next.KnowledgePort)
	return c
}

// watchSettings looks at the settings file until the context ends.
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

// reload takes the settings file over as far as a running host can. A file with
// faults changes nothing. Without a signal, only changes are logged.
func (h *host) reload(signal bool) {
	h.reloading.Lock()
	defer h.reloading.Unlock()
	text, err := h.settingsFile.Read()
	missing := h.settingsMissing
	if h.settingsMissing = err != nil; err != nil {
		if signal || !missing {
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

// apply takes new settings over. What a host is and where it listens stays.
func (h *host) apply(s *platform.Settings, signal bool) {
	old := h.settings.Load()
	c := compare(old, s)
	next := *old
	next.Name, next.StoreAddress, next.Seeds = s.Name, s.StoreAddress, s.Seeds
	next.MaxApplyDelay, next.MaxDrainDelay, next.StopGracePeriod = s.MaxApplyDelay, s.MaxDrainDelay, s.StopGracePeriod
	h.settings.Store(&next)
	if next.StoreAddress != old.StoreAddress {
		h.learner.SetStores(platform.NewStore(next.StoreAddress, h.common.Logger), platform.NewStore(next.StoreAddress, h.common.Logger))
	}
	h.handle(func(_ cactuspin.Time, _ *engine.Actions) { h.engine.Reconfigure(tuningOf(&next)) })
	h.common.Logger.Info("host: settings reloaded", slog.Bool("signal", signal), slog.Any("applied", c.applied), slog.Any("ignored", c.ignored))
}
