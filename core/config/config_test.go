package config_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragepost/core/config"
)

// The default seed is fixed, so that every run checks the same cases; the command
// line may set another.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443)
}

func route(i int, service string) config.Route {
	return config.Route{
		Name: fmt.Sprint("r", i), Address: address(i), Timeout: time.Second,
		Split: []config.WeightedService{{Service: service, Weight: 1}},
	}
}

func version(v uint64, routes ...config.Route) config.Configuration {
	return config.New(config.Configuration{Version: v, Routes: routes, Services: []string{"yard", "stud"}})
}

var _ = Describe("a configuration", func() {
	It("is valid with configured services, positive timeouts and distinct addresses", func() {
		Expect(version(1, route(1, "yard"), route(2, "stud")).Validate()).To(Succeed())
	})

	It("reports all validation errors", func() {
		unknown, timeout, weight := route(1, "barn"), route(2, "yard"), route(3, "yard")
		timeout.Timeout = 0
		weight.Split = []config.WeightedService{{Service: "yard"}}
		err := version(1, unknown, timeout, weight, route(4, "yard"), route(4, "stud")).Validate()
		for _, text := range []string{`unknown service "barn"`, "the timeout must be positive",
			"no service has a weight", "share the address 198.18.0.4:443"} {
			Expect(err).To(MatchError(ContainSubstring(text)))
		}
	})

	It("is replaced only by a higher version, whatever its content", func() {
		state, changed := config.State{}.Apply(version(5, route(1, "yard")))
		Expect(changed).To(BeTrue())
		for _, v := range []uint64{5, 4} {
			unchanged, changed := state.Apply(version(v, route(2, "stud")))
			Expect(changed).To(BeFalse())
			Expect(unchanged).To(Equal(state))
		}
	})

	It("rejects a delta that starts from another version", func() {
		d := config.Diff(version(3, route(1, "yard")), version(4, route(2, "yard")))
		_, err := version(2, route(1, "yard")).WithDelta(d)
		Expect(err).To(MatchError(ContainSubstring("from version 3 does not apply to version 2")))
	})
})

// TestDeltaReproducesNextVersion applies the delta between random configurations.
func TestDeltaReproducesNextVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(v uint64) config.Configuration {
			var routes []config.Route
			for _, i := range rapid.SliceOfDistinct(rapid.IntRange(1, 20), rapid.ID[int]).Draw(t, "routes") {
				routes = append(routes, route(i, rapid.SampledFrom([]string{"yard", "stud"}).Draw(t, "service")))
			}
			return version(v, routes...)
		}
		old, next := draw(7), draw(9)
		got, err := old.WithDelta(config.Diff(old, next))
		if err != nil {
			t.Fatalf("apply delta: %v", err)
		}
		if got.Version != 9 || !slices.EqualFunc(got.Routes, next.Routes, config.Route.Equal) {
			t.Fatalf("got %v, want %v", got, next)
		}
		fromEmpty, err := old.WithDelta(config.Diff(config.Configuration{}, next))
		if err != nil || !slices.EqualFunc(fromEmpty.Routes, next.Routes, config.Route.Equal) {
			t.Fatalf("delta from version 0: got %v, %v, want %v", fromEmpty, err, next)
		}
	})
}
