package daemon

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestInvalidPeersAreReported(t *testing.T) {
	for _, text := range []string{"0=10.0.0.1:7200", "x=10.0.0.1:7200", "10.0.0.1:7200", "2=nobody"} {
		g := NewWithT(t)
		s, v := settings{peers: []string{"1=10.0.0.1:7200", text}}, &validator{}
		s.parsePeers(v)
		g.Expect(v.errors).To(HaveLen(1), text)
	}
}
