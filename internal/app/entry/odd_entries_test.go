package entry

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
)

const (
	// applyBound is the bound of the settings within which a configuration is in force.
	applyBound = 3 * time.Second
	// maxValueLength is the length of the longest value that the store accepts, in bytes.
	maxValueLength = 1 << 20
)

// oddEntries are values that another writer may leave among the registrations.
func oddEntries() map[string]string {
	long := strings.Repeat("a", maxValueLength-200)
	with := func(old, odd string) string { return strings.Replace(registration, old, odd, 1) }
	odd := map[string]string{
		"0-empty":               "",
		"1-port out of range":   with(":8080", ":70000"),
		"2-negative port":       with(":8080", ":-1"),
		"3-slots too large":     with(`"slots":3`, `"slots":1e999`),
		"4-integer too large":   with(`"slots":3`, `"slots":`+strings.Repeat("9", 400)),
		"5-start too large":     with(`"slots":3`, `"slots":3,"born":`+strings.Repeat("9", 32)),
		"6-long service":        with(`"service":"s"`, `"service":"`+long+`"`),
		"7-long zone":           with(`"zone":"z"`, `"zone":"`+long+`"`),
		"8-long state":          with(`"ready"`, `"`+long+`"`),
		"9-nested in one field": with(`"slots":3`, `"slots":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)),
	}
	for i := range 12 {
		odd["a-nested "+strconv.Itoa(i)] = strings.Repeat("[", maxValueLength)
	}
	return odd
}

// Guards against hosts that end, or that stop following the store, because of odd
// entries among the registrations.
func TestHostsFollowTheStoreBesideOddEntries(t *testing.T) {
	g := NewWithT(t)
	store := serveStore(t, g, "127.77.0.9:8169")
	store.Put("servers/i-0000000a", []byte(registration))
	store.Put("op/config", []byte(configuration))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	running := newTestHost(t, g, "127.77.2.1")
	running.start(ctx)
	version := func(h *host) func() cactuspin.RoutingVersion {
		return func() cactuspin.RoutingVersion { return h.status().RoutingVersion }
	}
	g.Eventually(version(running), timeout).Should(Equal(cactuspin.RoutingVersion(7)))

	for name, value := range oddEntries() {
		store.Put("servers/"+name, []byte(value))
	}
	store.Put("op/config", []byte(strings.Replace(configuration, `"version":7`, `"version":8`, 1)))
	g.Eventually(version(running), applyBound).Should(Equal(cactuspin.RoutingVersion(8)))
	g.Expect(running.status().Targets).To(Equal(1))

	started := newTestHost(t, g, "127.77.2.2")
	started.start(ctx)
	g.Eventually(version(started), applyBound).Should(Equal(cactuspin.RoutingVersion(8)))
	g.Expect(started.status().Targets).To(Equal(1))
	cancel()
	for _, ended := range []<-chan error{running.ended(), started.ended()} {
		for range 4 {
			g.Eventually(ended, timeout).Should(Receive())
		}
	}
}
