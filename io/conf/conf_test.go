package conf_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/io/conf"
)

var update = flag.Bool("update", false, "write the golden files")

// TestFaults checks that all faults of a file are reported with line and field.
func TestFaults(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		_, err := conf.Check(f)
		var faults *conf.Error
		g.Expect(errors.As(err, &faults)).To(BeTrue(), "%s: %v", f, err)
		got := err.Error() + "\n"
		golden := strings.TrimSuffix(f, ".yaml") + ".golden"
		if *update {
			g.Expect(os.WriteFile(golden, []byte(got), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(golden)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(string(want)))
	}
}
