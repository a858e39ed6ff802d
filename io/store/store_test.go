package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/quorum"
	"boragepost/core/roster"
	"boragepost/io/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

func entries(from, to uint64) []quorum.Entry {
	var out []quorum.Entry
	for i := from; i <= to; i++ {
		out = append(out, quorum.Entry{Index: i, Term: 1, Data: []byte("a command")})
	}
	return out
}

var _ = Describe("a data directory", func() {
	var dir, log string
	hard := quorum.HardState{Term: 3, Vote: "b", CanVote: true}

	write := func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(s.Save(&hard, entries(1, 4))).To(Succeed())
		Expect(s.Save(nil, entries(5, 9))).To(Succeed())
		Expect(s.Save(nil, entries(8, 10))).To(Succeed()) // replaces 8 and 9
	}
	read := func() (quorum.PersistentState, error) {
		s, saved, err := store.Open(dir)
		if err == nil {
			Expect(s.Close()).To(Succeed())
		}
		return saved, err
	}

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		log = filepath.Join(dir, "log")
		write()
	})

	It("returns what was saved", func() {
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.HardState).To(Equal(hard))
		Expect(saved.Entries).To(Equal(entries(1, 10)))
	})

	It("drops a record that is truncated at any offset", func() {
		intact, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		last := 0
		for size := len(intact) - 1; size >= 0; size-- {
			Expect(os.WriteFile(log, intact[:size], 0o600)).To(Succeed())
			saved, err := read()
			Expect(err).NotTo(HaveOccurred(), "cut at %d", size)
			last = len(saved.Entries)
		}
		Expect(last).To(BeZero())
	})

	It("reports corruption of a record with valid ones after it", func() {
		data, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		for _, at := range []int{0, 5, 9, 14, 20} {
			changed := append([]byte(nil), data...)
			changed[at] ^= 0x40
			Expect(os.WriteFile(log, changed, 0o600)).To(Succeed())
			_, err := read()
			var corrupt *store.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", at, err)
		}
	})

	It("returns a snapshot and the entries after it", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		snap := quorum.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
		Expect(s.SaveSnapshot(snap, hard, entries(7, 10))).To(Succeed())
		Expect(s.Save(nil, entries(11, 12))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.Snapshot).To(Equal(snap))
		Expect(saved.Entries).To(Equal(entries(7, 12)))
	})

	// retry repeats a call until it succeeds, as the package's users do.
	retry := func(call func() error) {
		GinkgoHelper()
		Eventually(call, "5s", "1ms").Should(Succeed())
	}

	It("recovers from torn writes and failed syncs without losing entries", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		s.InjectFaults(&store.Faults{TornWrites: 3, Truncates: 2, Syncs: 2})
		retry(func() error { return s.Save(nil, entries(11, 12)) })
		retry(func() error { return s.Save(&hard, entries(13, 13)) })
		Expect(s.Close()).To(Succeed())
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.Entries).To(Equal(entries(1, 13)))
	})

	It("loses nothing when syncs of the directory fail during a snapshot", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		s.InjectFaults(&store.Faults{DirectorySyncs: 2})
		snap := quorum.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
		Expect(s.SaveSnapshot(snap, hard, entries(7, 10))).To(MatchError(store.ErrFault), "sync after the snapshot file is renamed")
		Expect(s.SaveSnapshot(snap, hard, entries(7, 10))).To(MatchError(store.ErrFault))
		retry(func() error { return s.SaveSnapshot(snap, hard, entries(7, 10)) })
		Expect(s.Save(nil, entries(11, 12))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.Entries).To(Equal(entries(7, 12)))
	})

	It("cannot be opened by two processes at a time", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		_, _, err = store.Open(dir)
		Expect(err).To(MatchError(ContainSubstring("another process")))
	})
})

// FuzzOpen opens directories with arbitrary log files, which must not cause a panic.
func FuzzOpen(f *testing.F) {
	f.Add([]byte("bpl1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "log"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := store.Open(dir)
		if err == nil {
			s.Close()
		}
	})
}

var _ = Describe("the journal of departures", func() {
	server := func(id uint64) roster.Server { return roster.Server{ID: id, Incarnation: 5, Phase: roster.Gone} }
	saved := func(dir string) ([]roster.Server, int) {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		servers, skipped, err := s.Departures()
		Expect(err).NotTo(HaveOccurred())
		return servers, skipped
	}

	It("returns what was saved since it was cleared", func() {
		dir := GinkgoT().TempDir()
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SaveDepartures([]roster.Server{server(1)})).To(Succeed())
		Expect(s.ClearDepartures()).To(Succeed())
		Expect(s.SaveDepartures([]roster.Server{server(2), server(3)})).To(Succeed())
		Expect(s.SaveDepartures([]roster.Server{server(4)})).To(Succeed())
		Expect(s.Close()).To(Succeed())
		servers, skipped := saved(dir)
		Expect(servers).To(Equal([]roster.Server{server(2), server(3), server(4)}))
		Expect(skipped).To(BeZero())
	})

	It("keeps synced records behind a torn write", func() {
		dir := GinkgoT().TempDir()
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		s.InjectFaults(&store.Faults{TornWrites: 1})
		Expect(s.SaveDepartures([]roster.Server{server(1)})).To(MatchError(store.ErrFault))
		Expect(s.SaveDepartures([]roster.Server{server(2)})).To(Succeed())
		Expect(s.Close()).To(Succeed())
		servers, skipped := saved(dir)
		Expect(servers).To(Equal([]roster.Server{server(2)}))
		Expect(skipped).To(BeNumerically(">", 0))
	})
})
