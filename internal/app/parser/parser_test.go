package parser_test

import (
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/app/parser"
)

func TestHelpAndVersionArePrintedOnceAndEndTheParsing(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"--version"}, {"go", "--help"}, {"help", "go"}} {
		g := NewWithT(t)
		var out, errOut strings.Builder
		a := kingpin.New("program", "Does things.")
		a.Version("1.2")
		a.UsageWriter(&out)
		a.ErrorWriter(&errOut)
		a.Command("go", "Goes.").Arg("where", "Where to.").Required().String()
		_, done, err := parser.Parse(a, args)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done).To(BeTrue(), "%v", args)
		g.Expect(strings.Count(out.String()+errOut.String(), "usage:")).To(BeNumerically("<=", 1))
	}
	a := kingpin.New("program", "Does things.")
	a.Command("go", "Goes.")
	command, done, err := parser.Parse(a, []string{"go"})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(done).To(BeFalse())
	NewWithT(t).Expect(command).To(Equal("go"))
}
