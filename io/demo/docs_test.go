package demo_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/core/model"
	"boragepost/io/conf"
	"boragepost/io/ctrl"
	"boragepost/io/demo"
	"boragepost/io/entry"
	"boragepost/io/logs"
	"boragepost/io/plane"
	"boragepost/io/relay"
)

const root = "../../"

func operationsPage(g *WithT) string {
	page, err := os.ReadFile(root + "docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	return string(page)
}

// TestExamplesAreValid checks the example files of both deployments.
func TestExamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob(root + "examples/*/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(6))
	for _, f := range files {
		_, err := conf.Check(f)
		g.Expect(err).NotTo(HaveOccurred(), f)
	}
}

// TestEverySettingIsDocumented checks that the operations page lists every
// setting.
func TestEverySettingIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page := operationsPage(g)
	for _, v := range []any{conf.Entry{}, conf.Control{}, model.Service{}} {
		for _, name := range settingNames(reflect.TypeOf(v), "") {
			g.Expect(page).To(ContainSubstring("| `"+name+"` |"), name)
		}
	}
}

func settingNames(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("yaml")
		switch {
		case name == "-":
		case f.Type.Kind() == reflect.Struct && strings.HasPrefix(f.Type.PkgPath(), "boragepost/io/conf"):
			out = append(out, settingNames(f.Type, prefix+name+".")...)
		default:
			out = append(out, prefix+name)
		}
	}
	return out
}

// TestEveryMetricIsDocumented checks that the operations page lists every metric
// that an entry instance, a control replica and the platform's roles export.
func TestEveryMetricIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page := operationsPage(g)
	topology, err := demo.NewTopology(t.TempDir(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	replica, err := ctrl.Start(ctx, ctrl.Config{Settings: topology.Controls[0], Log: logs.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	defer replica.Close()
	e, err := entry.Start(ctx, entry.Config{Settings: topology.Entries[0], Log: logs.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	defer e.Close()
	for _, addr := range []string{topology.Controls[0].Listen.String(), topology.Entries[0].Peer.String()} {
		resp, err := http.Get("http://" + addr + "/metrics")
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		expectDocumented(g, page, string(body))
	}
	expectDocumented(g, page, scrape(g, relayMetrics(ctx, g)))
	expectDocumented(g, page, scrape(g, planeMetrics(ctx, t, g)))
}

// expectDocumented checks that a page names every metric in a scrape.
func expectDocumented(g *WithT, page, metrics string) {
	names := regexp.MustCompile(`(?m)^# TYPE (boragepost_\w+)`)
	found := names.FindAllStringSubmatch(metrics, -1)
	g.Expect(len(found)).To(BeNumerically(">", 4))
	for _, m := range found {
		g.Expect(page).To(ContainSubstring("`" + m[1] + "`"))
	}
}

func scrape(g *WithT, h http.Handler) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(w.Code).To(Equal(http.StatusOK))
	return w.Body.String()
}

func relayMetrics(ctx context.Context, g *WithT) http.Handler {
	r, err := relay.Start(ctx, relay.Config{
		Packets: netip.MustParseAddrPort("127.0.0.1:0"), Link: netip.MustParseAddrPort("127.0.0.1:0"), Log: logs.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	context.AfterFunc(ctx, r.Close)
	return r.Metrics()
}

func planeMetrics(ctx context.Context, t *testing.T, g *WithT) http.Handler {
	r, err := plane.Start(ctx, plane.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Data: t.TempDir(), Log: logs.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	return r.Metrics()
}

// TestEveryLogEventIsDocumented checks that the operations page lists every event
// name that the source logs.
func TestEveryLogEventIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page := operationsPage(g)
	logCall := regexp.MustCompile(`(?:\.(?:Info|Warn|Error)|t\.logFailure)\("(\w+)"`)
	events := 0
	checkFile := func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range logCall.FindAllStringSubmatch(string(source), -1) {
			events++
			g.Expect(page).To(ContainSubstring("`" + m[1] + "`"))
		}
		return nil
	}
	for _, dir := range []string{"io", "platform"} {
		g.Expect(filepath.WalkDir(root+dir, checkFile)).To(Succeed())
	}
	g.Expect(events).To(BeNumerically(">", 10))
}
