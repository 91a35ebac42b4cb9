package bundleparser_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
)

func TestExamplesHaveNoFaults(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../../examples/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		text, err := os.ReadFile(f)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = bundleparser.Parse(text)
		g.Expect(err).NotTo(HaveOccurred(), f)
	}
}

func TestAllFaultsAreReportedWithLineAndField(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("testdata/faulty.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = bundleparser.Parse(text)
	var faults *bundleparser.FaultsError
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	want, err := os.ReadFile("testdata/faulty.txt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(faults.Error() + "\n").To(Equal(string(want)))
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("../../../examples/lima-1.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("format: 1\nservices: [{}]\n"))
	f.Add([]byte("services: &a [*a]\n"))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = bundleparser.Parse(b) })
}

func TestEachFurtherUseOfAnAddressNamesItsFirstOwner(t *testing.T) {
	g := NewWithT(t)
	const service = "  - {name: %s, address: \"127.10.1.1:5683\"}\n"
	text := "format: 1\nservices:\n"
	for _, name := range []string{"one", "two", "three"} {
		text += fmt.Sprintf(service, name)
	}
	_, err := bundleparser.Parse([]byte(text))
	g.Expect(strings.Count(err.Error(), "127.10.1.1:5683 is used by one too")).To(Equal(2), err.Error())
}
