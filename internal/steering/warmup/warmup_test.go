package warmup_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/warmup"
)

const now = cactuspin.Time(1_000_000_000_000)

var settings = &cactuspin.ServiceSettings{Name: "s", Warmup: 2 * time.Second, WarmupRate: 10}

func hosts(n int) (list []netip.Addr) {
	for i := range n {
		list = append(list, netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}))
	}
	return list
}

// owned returns a limiter of a host that owns its target, and the list that says so.
func owned() (*warmup.Limiter, *warmup.List) {
	self := hosts(1)[0]
	var none *warmup.List
	return warmup.NewLimiter(now, 7, self, settings), none.Renew(now, hosts(1))
}

// Guards against hosts with the same list that all consider themselves the owner, and
// against hosts that own most targets.
func TestEachTargetHasOneOwner(t *testing.T) {
	g := NewWithT(t)
	list := hosts(5)
	counts := map[netip.Addr]int{}
	for c := range cactuspin.Cookie(1000) {
		counts[warmup.Owner(c, list)]++
	}
	g.Expect(counts).To(HaveLen(5))
	for a, n := range counts {
		g.Expect(n).To(BeNumerically("~", 200, 60), a.String())
	}
	g.Expect(warmup.Owner(1, nil).IsValid()).To(BeFalse())
}

// Guards against targets that change their owner when another host joins or dies.
func TestOwnersStayWhenOtherHostsLeave(t *testing.T) {
	g := NewWithT(t)
	list := hosts(8)
	gone := list[7]
	for c := range cactuspin.Cookie(500) {
		if before := warmup.Owner(c, list); before != gone {
			g.Expect(warmup.Owner(c, list[:7])).To(Equal(before))
		}
	}
}

// Guards against bursts and against a rate that three owners cannot share.
func TestOwnerSendsHalfOfTheRateWithoutBursts(t *testing.T) {
	g := NewWithT(t)
	l, list := owned()
	var sent []cactuspin.Time
	for at := now; at < now.Add(10*time.Second); at = at.Add(time.Millisecond) {
		list = list.Renew(at, hosts(1))
		if l.Take(at, list) {
			sent = append(sent, at)
		}
	}
	g.Expect(sent[0].Sub(now)).To(BeNumerically(">=", 200*time.Millisecond), "it starts without a token")
	g.Expect(len(sent)).To(BeNumerically("~", 50, 1))
	for i := 6; i < len(sent); i++ {
		g.Expect(sent[i].Sub(sent[i-6])).To(BeNumerically(">=", time.Second), "at most 5 + 1 in a second")
	}
}

// Guards against tokens that add up while no flow comes.
func TestTokensDoNotAddUp(t *testing.T) {
	g := NewWithT(t)
	l, list := owned()
	at := now
	for range 100 {
		at = at.Add(200 * time.Millisecond)
		list = list.Renew(at, hosts(1))
	}
	g.Expect(l.Ready(at, list)).To(BeTrue())
	g.Expect(l.Take(at, list)).To(BeTrue())
	g.Expect(l.Ready(at, list)).To(BeFalse())
	g.Expect(l.Take(at, list)).To(BeFalse())
}

// Guards against a host that goes on sending after the list names another owner, after it
// lost the list, or after it was suspended.
func TestOnlyTheOwnerOfAValidListSends(t *testing.T) {
	g := NewWithT(t)
	l, list := owned()
	at := now.Add(10 * time.Second)
	g.Expect(l.Take(at, list)).To(BeFalse(), "the list was not renewed")
	g.Expect(l.Take(at, nil)).To(BeFalse())
	list = list.Renew(at, nil)
	g.Expect(l.Take(at, list)).To(BeFalse(), "no host is eligible")
	list = list.Renew(at, hosts(9)[1:])
	g.Expect(l.Take(at, list)).To(BeFalse(), "others own it")
	list = list.Renew(at, hosts(1))
	g.Expect(l.Owned(at, list)).To(BeTrue())
}

// Guards against a new owner that sends at once what the former owner has just sent, too.
func TestNewOwnersAndRestartedTargetsStartWithoutTokens(t *testing.T) {
	g := NewWithT(t)
	l, list := owned()
	at := now.Add(time.Minute)
	list = list.Renew(at, hosts(9)[1:])
	g.Expect(l.Owned(at, list)).To(BeFalse())
	list = list.Renew(at, hosts(1))
	g.Expect(l.Take(at, list)).To(BeFalse(), "a new owner")
	at = at.Add(200 * time.Millisecond)
	g.Expect(l.Ready(at, list)).To(BeTrue())
	l.Restart(at)
	g.Expect(l.Take(at, list)).To(BeFalse(), "a restarted target")
}

// Guards against time that goes back between two threads and adds tokens twice.
func TestEarlierTimesAddNoTokens(t *testing.T) {
	g := NewWithT(t)
	l, list := owned()
	late := now.Add(210 * time.Millisecond)
	g.Expect(l.Take(late, list)).To(BeTrue())
	g.Expect(l.Take(now, list)).To(BeFalse())
	g.Expect(l.Take(late, list)).To(BeFalse())
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{3, 28, 64} {
		list := hosts(n)
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				warmup.Owner(9, list)
			}
		})
	}
}
