package runner_test

import (
	"context"
	"encoding/json"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
)

func publishBundle(ctx context.Context, g *WithT, c *platformclient.Client, s *cactuspin.SignedBundle) {
	data, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.CompareAndSwap(ctx, platformclient.BundleKey("test"), 0, data)
	g.Expect(err).NotTo(HaveOccurred())
}
