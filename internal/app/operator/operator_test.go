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

// fixture runs commands of the client against a stand-in of the platform.
type fixture struct {
	*testing.T
	dir      string
	platform string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := httptest.NewServer(kvserver.New())
	t.Cleanup(s.Close)
	f := &fixture{T: t, dir: t.TempDir(), platform: s.URL}
	f.run(operator.ExitSuccess, "key", "ana", "--out", f.file("ana.key"))
	return f
}

func (f *fixture) file(name string) string { return filepath.Join(f.dir, name) }

// run runs a command, checks its exit code and returns its output.
func (f *fixture) run(code int, args ...string) string {
	f.Helper()
	var out bytes.Buffer
	NewWithT(f.T).Expect(operator.Main(args, &out, &out)).To(Equal(code), "%v: %s", args, &out)
	return out.String()
}

// sign signs an example bundle in which it replaces the text before by after, and
// returns the path of the signed file.
func (f *fixture) sign(example, before, after string) string {
	f.Helper()
	g := NewWithT(f.T)
	text, err := os.ReadFile("../../../examples/" + example)
	g.Expect(err).NotTo(HaveOccurred())
	changed := strings.Replace(string(text), before, after, 1)
	plain, signed := f.file("plain.yaml"), f.file(example+after)
	g.Expect(os.WriteFile(plain, []byte(changed), 0o600)).To(Succeed())
	f.run(operator.ExitSuccess, "bundle", "sign", plain, "--name", "ana", "--key", f.file("ana.key"), "--out", signed)
	return signed
}

func (f *fixture) apply(code int, signed string) string {
	f.Helper()
	return f.run(code, "bundle", "apply", signed, "--platform", f.platform)
}

func (f *fixture) setFaults(json string) {
	f.Helper()
	resp, err := http.Post(f.platform+kvserver.FaultPath, "application/json", strings.NewReader(json))
	NewWithT(f.T).Expect(err).NotTo(HaveOccurred())
	NewWithT(f.T).Expect(resp.Body.Close()).To(Succeed())
}

func TestOnlyOneOfTwoBundlesWithTheSameVersionIsAccepted(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	first, second := f.sign("lima-1.yaml", "", ""), f.sign("lima-1.yaml", "retry_after: 2s", "retry_after: 3s")
	f.apply(operator.ExitSuccess, first)
	g.Expect(f.apply(operator.ExitConflict, second)).To(ContainSubstring("version 1 of ana is there"))
	f.apply(operator.ExitSuccess, first)
}

func TestVersionMustFollowTheCurrentOne(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	g.Expect(f.apply(operator.ExitConflict, f.sign("lima-2.yaml", "", ""))).To(ContainSubstring("the next must be 1"))
	f.apply(operator.ExitSuccess, f.sign("lima-1.yaml", "", ""))
	f.apply(operator.ExitSuccess, f.sign("lima-2.yaml", "", ""))
}

func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	f := newFixture(t)
	f.setFaults(`{"lose_answers": 1}`)
	f.apply(operator.ExitSuccess, f.sign("lima-1.yaml", "", ""))
}

func TestOutcomeIsUnknownWithoutThePlatform(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	signed := f.sign("lima-1.yaml", "", "")
	f.setFaults(`{"down": true}`)
	g.Expect(f.apply(operator.ExitOutcomeUnknown, signed)).To(ContainSubstring("ask again"))
	f.setFaults(`{}`)
	f.apply(operator.ExitSuccess, signed)
}

func TestInvalidBundlesAndUsageErrorsHaveTheirExitCodes(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	invalid := "../../configuration/bundleparser/testdata/faulty.yaml"
	g.Expect(f.run(operator.ExitInvalidBundle, "bundle", "check", invalid)).To(ContainSubstring("line 8: services.0.kinds.0.path"))
	f.run(operator.ExitUsage, "bundle", "apply")
	g.Expect(f.run(operator.ExitSuccess, "bundle", "diff", "../../../examples/lima-1.yaml", "../../../examples/lima-2.yaml")).
		To(ContainSubstring("+ service order-desk target"))
}
