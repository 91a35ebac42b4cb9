package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// asked is the service that the tests ask for.
const asked = "198.18.0.1:443"

// explainers serves the explanations of testdata/where.json, as hosts do, and returns the
// addresses by name. The host "silent" does not answer. The data has the fields of the
// admin interface and no others.
func explainers(t *testing.T, g *WithT) map[string]string {
	t.Helper()
	text, err := os.ReadFile("testdata/where.json")
	g.Expect(err).NotTo(HaveOccurred())
	var explanations map[string]balancer.Explanation
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	g.Expect(d.Decode(&explanations)).To(Succeed())
	addresses := map[string]string{}
	for name, x := range explanations {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g.Expect(r.URL.Path).To(Equal(cactuspin.EntryExplainPath))
			g.Expect(r.URL.Query().Get("service")).To(Equal(asked))
			g.Expect(r.URL.Query().Has("caller")).To(Equal(x.FlowKnown))
			g.Expect(json.NewEncoder(w).Encode(x)).To(Succeed())
		}))
		t.Cleanup(server.Close)
		addresses[name] = strings.TrimPrefix(server.URL, "http://")
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	addresses["silent"] = strings.TrimPrefix(gone.URL, "http://")
	return addresses
}

// where runs the command and returns its exit code and outputs, with the names of the hosts
// for their addresses.
func where(addresses map[string]string, flags []string, hosts ...string) (code int, out, errOut string) {
	args := append([]string{"where", asked}, flags...)
	var names []string
	for _, h := range hosts {
		args = append(args, "--host", addresses[h])
		names = append(names, addresses[h], (strings.ReplaceAll(h, " ", "-") + "...............")[:len(addresses[h])])
	}
	var o, e strings.Builder
	code = Main(args, &o, &e)
	r := strings.NewReplacer(names...)
	return code, r.Replace(o.String()), r.Replace(e.String())
}

func TestHostsAreExplainedSideBySide(t *testing.T) {
	g := NewWithT(t)
	addresses := explainers(t, g)
	code, out, errOut := where(addresses, nil, "evacuated", "crowded")
	g.Expect(code).To(Equal(ExitSuccess), errOut)
	want, err := os.ReadFile("testdata/where.txt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(string(want)), out)

	code, out, _ = where(addresses, []string{"--caller", "100.64.0.9:1154"}, "known flow")
	g.Expect(code).To(Equal(ExitSuccess))
	g.Expect(out).To(ContainSubstring("known flow  target i-01 of desk, zone a"))
}

// Guards against a host that fails unnoticed among others, or hides the others.
func TestHostsWithoutExplanationAreNamed(t *testing.T) {
	g := NewWithT(t)
	addresses := explainers(t, g)
	for name, message := range map[string]string{
		"silent":       "ask host: ",
		"no route":     "routing version 6 has no route for " + asked,
		"no knowledge": "the host has no knowledge yet",
	} {
		code, out, errOut := where(addresses, nil, name, "crowded")
		g.Expect(code).To(Equal(ExitFailed), name)
		g.Expect(out).To(And(ContainSubstring("own zone crowded"), ContainSubstring("i-01")), name)
		g.Expect(errOut).To(And(ContainSubstring("1 of 2 hosts have no explanation"), ContainSubstring(message)), name)
		code, _, errOut = where(addresses, nil, name)
		g.Expect(code).To(Equal(ExitFailed), name)
		g.Expect(errOut).To(ContainSubstring(message))
	}
}

func TestExplanationsAsJSON(t *testing.T) {
	g := NewWithT(t)
	addresses := explainers(t, g)
	for _, flags := range [][]string{{"--json"}, {"--output", "json"}} {
		code, out, _ := where(addresses, flags, "silent", "evacuated")
		g.Expect(code).To(Equal(ExitFailed))
		var decisions []hostDecision
		g.Expect(json.Unmarshal([]byte(out), &decisions)).To(Succeed())
		g.Expect(decisions).To(HaveLen(2))
		g.Expect(decisions[0].Explanation.Decisions[0].Outcome).To(Equal("drop"))
		g.Expect(decisions[0].Error).To(BeEmpty())
		g.Expect(decisions[1].Explanation).To(BeNil())
		g.Expect(decisions[1].Error).To(ContainSubstring("ask host"))
	}
}

func TestFlowsThatCannotBeExplained(t *testing.T) {
	g := NewWithT(t)
	var out, errOut strings.Builder
	g.Expect(Main([]string{"where", asked}, &out, &errOut)).To(Equal(ExitUsage), "no host")
	g.Expect(Main([]string{"where", "--host", "127.0.0.1:1"}, &out, &errOut)).To(Equal(ExitUsage), "no service")
	for _, service := range []string{"x", "198.18.0.1", "[::1]:443"} {
		errOut.Reset()
		g.Expect(Main([]string{"where", service, "--host", "127.0.0.1:1"}, &out, &errOut)).To(Equal(ExitFailed))
		g.Expect(errOut.String()).To(ContainSubstring("service must be IP:port"))
	}
}
