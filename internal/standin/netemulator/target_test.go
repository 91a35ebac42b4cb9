package netemulator

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/standin/metastore"
)

// A host that was paused forwards copies of packets late. A target that took the copy of a
// SYN for a new flow would run the copy of the request again.
func TestALateCopyOfASYNBeginsNoFlow(t *testing.T) {
	g := NewWithT(t)
	oracle := newOracle()
	x, err := newTarget(1, serviceOf(kindOrder), "a", netip.MustParseAddrPort("127.78.0.1:0"), 1, metastore.New(), oracle)
	g.Expect(err).NotTo(HaveOccurred())
	defer x.close()
	caller, service := netip.MustParseAddrPort("127.78.0.2:4000"), netip.MustParseAddrPort("198.18.0.1:80")
	syn := packet{from: caller, to: service, flags: bitSYN, seq: 100}
	order := packet{from: caller, to: service, flags: bitACK, seq: 101, ack: 1, data: []byte("POST / HTTP/1.1\r\nX-Cactuspin-Request-Id: order-1.1\r\n\r\n")}
	answered := func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.flows[caller] != nil && len(x.flows[caller].response) > 0
	}
	x.handlePacket(syn)
	x.handlePacket(order)
	g.Eventually(answered, time.Minute).Should(BeTrue())
	x.handlePacket(syn)
	x.handlePacket(order)
	time.Sleep(2 * workTime)
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	g.Expect(oracle.executions).To(Equal(map[string]int{"order-1": 1}))
}
