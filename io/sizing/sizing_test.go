package sizing_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/io/sizing"
)

// TestCapacityPage checks that the tables of the capacity page match the recorded
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

// TestEverySlopeHasThreeSizes checks that every line is fitted to at least three
// points. Two points would give a perfect fit.
func TestEverySlopeHasThreeSizes(t *testing.T) {
	g := NewWithT(t)
	slopes, err := sizing.Load("../../docs/slopes.json")
	g.Expect(err).NotTo(HaveOccurred())
	for name, s := range slopes {
		g.Expect(len(s.Points)).To(BeNumerically(">=", 3), name)
	}
}
