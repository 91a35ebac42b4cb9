package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/platform"
)

// Guards against knowledge that may be older than the bound of evacuations, and against
// hosts without that bound that are treated differently from before.
func TestBoundsLimitTheAgeOfKnowledge(t *testing.T) {
	g := NewWithT(t)
	s := &platform.Settings{MaxApplyDelay: 3 * time.Second, MaxDrainDelay: 2 * time.Second}
	d := dynamicConfig(s)
	g.Expect(d.MaxStaleness).To(Equal(2 * time.Second))
	g.Expect(d.Evacuations).To(BeFalse())
	for evacuation, want := range map[time.Duration]time.Duration{5 * time.Second: 2 * time.Second, time.Second: time.Second} {
		next := *s
		next.MaxEvacuationDelay = evacuation
		d = dynamicConfig(&next)
		g.Expect(d.MaxStaleness).To(Equal(want))
		g.Expect(d.Evacuations).To(BeTrue())
		g.Expect(compareSettings(s, &next).applied).To(Equal([]string{"bounds"}))
	}
}
