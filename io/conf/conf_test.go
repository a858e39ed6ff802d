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

// TestDiagnostics checks that all errors in a file are reported with line and
// field.
func TestDiagnostics(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, f := range files {
		_, err := conf.Check(f)
		var confErr *conf.Error
		g.Expect(errors.As(err, &confErr)).To(BeTrue(), "%s: %v", f, err)
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
