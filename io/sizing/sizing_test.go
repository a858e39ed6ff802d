package sizing_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/io/sizing"
)

// TestCapacityPage checks that the page's tables follow from the recorded
// slopes.
func TestCapacityPage(t *testing.T) {
	g := NewWithT(t)
	slopes, err := sizing.Load("../../docs/slopes.json")
	g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(page), "<!-- begin generated -->\n")
	g.Expect(found).To(BeTrue())
	table, _, found := strings.Cut(rest, "<!-- end generated -->")
	g.Expect(found).To(BeTrue())
	g.Expect(sizing.Markdown(sizing.Plan(sizing.Target, slopes), slopes)).To(Equal(table))
}

// TestEverySlopeHasThreeSizes checks that no line rests on two points.
func TestEverySlopeHasThreeSizes(t *testing.T) {
	g := NewWithT(t)
	slopes, err := sizing.Load("../../docs/slopes.json")
	g.Expect(err).NotTo(HaveOccurred())
	for name, s := range slopes {
		g.Expect(len(s.Points)).To(BeNumerically(">=", 3), name)
	}
}
