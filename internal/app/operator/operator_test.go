package operator_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/app/operator"
	"github.com/cactuspin/cactuspin/internal/standin/kvserver"
)

// desk is an operator's desk with a platform.
type desk struct {
	*testing.T
	dir      string
	platform string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	s := httptest.NewServer(kvserver.New())
	t.Cleanup(s.Close)
	d := &desk{T: t, dir: t.TempDir(), platform: s.URL}
	d.run(operator.ExitSuccess, "key", "ana", "--out", d.file("ana.key"))
	return d
}

func (d *desk) file(name string) string { return filepath.Join(d.dir, name) }

// run runs one command, checks its exit code and returns what it wrote.
func (d *desk) run(code int, args ...string) string {
	d.Helper()
	var out bytes.Buffer
	NewWithT(d.T).Expect(operator.Main(args, &out, &out)).To(Equal(code), "%v: %s", args, &out)
	return out.String()
}

// sign signs an example with a change in its text and returns the signed file.
func (d *desk) sign(example, before, after string) string {
	d.Helper()
	g := NewWithT(d.T)
	text, err := os.ReadFile("../../../examples/" + example)
	g.Expect(err).NotTo(HaveOccurred())
	changed := strings.Replace(string(text), before, after, 1)
	plain, signed := d.file("plain.yaml"), d.file(example+after)
	g.Expect(os.WriteFile(plain, []byte(changed), 0o600)).To(Succeed())
	d.run(operator.ExitSuccess, "bundle", "sign", plain, "--name", "ana", "--key", d.file("ana.key"), "--out", signed)
	return signed
}

func (d *desk) apply(code int, signed string) string {
	d.Helper()
	return d.run(code, "bundle", "apply", signed, "--platform", d.platform)
}

func (d *desk) faults(json string) {
	d.Helper()
	resp, err := http.Post(d.platform+kvserver.FaultPath, "application/json", strings.NewReader(json))
	NewWithT(d.T).Expect(err).NotTo(HaveOccurred())
	NewWithT(d.T).Expect(resp.Body.Close()).To(Succeed())
}

func TestOfTwoOperatorsOneIsAccepted(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t)
	first, second := d.sign("lima-1.yaml", "", ""), d.sign("lima-1.yaml", "retry_after: 2s", "retry_after: 3s")
	d.apply(operator.ExitSuccess, first)
	g.Expect(d.apply(operator.ExitConflict, second)).To(ContainSubstring("version 1 of ana is there"))
	d.apply(operator.ExitSuccess, first)
}

func TestTheNextVersionIsOneMore(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t)
	g.Expect(d.apply(operator.ExitConflict, d.sign("lima-2.yaml", "", ""))).To(ContainSubstring("the next must be 1"))
	d.apply(operator.ExitSuccess, d.sign("lima-1.yaml", "", ""))
	d.apply(operator.ExitSuccess, d.sign("lima-2.yaml", "", ""))
}

func TestALostAnswerIsSettledByReadingBack(t *testing.T) {
	d := newDesk(t)
	d.faults(`{"lose_answers": 1}`)
	d.apply(operator.ExitSuccess, d.sign("lima-1.yaml", "", ""))
}

func TestWithoutThePlatformNothingIsClaimed(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t)
	signed := d.sign("lima-1.yaml", "", "")
	d.faults(`{"down": true}`)
	g.Expect(d.apply(operator.ExitOutcomeUnknown, signed)).To(ContainSubstring("ask again"))
	d.faults(`{}`)
	d.apply(operator.ExitSuccess, signed)
}

func TestFaultsAndUsageHaveTheirExitCodes(t *testing.T) {
	g := NewWithT(t)
	d := newDesk(t)
	faulty := "../../configuration/bundleparser/testdata/faulty.yaml"
	g.Expect(d.run(operator.ExitInvalidBundle, "bundle", "check", faulty)).To(ContainSubstring("line 8: services.0.kinds.0.path"))
	d.run(operator.ExitUsage, "bundle", "apply")
	g.Expect(d.run(operator.ExitSuccess, "bundle", "diff", "../../../examples/lima-1.yaml", "../../../examples/lima-2.yaml")).
		To(ContainSubstring("+ service order-desk target"))
}
