package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/quorum"
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

var _ = Describe("a data folder", func() {
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

	It("holds what was saved", func() {
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.HardState).To(Equal(hard))
		Expect(saved.Entries).To(Equal(entries(1, 10)))
	})

	It("drops a record that was cut off anywhere", func() {
		whole, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		last := 0
		for size := len(whole) - 1; size >= 0; size-- {
			Expect(os.WriteFile(log, whole[:size], 0o600)).To(Succeed())
			saved, err := read()
			Expect(err).NotTo(HaveOccurred(), "cut at %d", size)
			last = len(saved.Entries)
		}
		Expect(last).To(BeZero())
	})

	It("refuses a changed record with good ones after it", func() {
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

	It("goes on after a snapshot with the entries behind it", func() {
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

	// until repeats a call as its callers do.
	until := func(call func() error) {
		GinkgoHelper()
		Eventually(call, "5s", "1ms").Should(Succeed())
	}

	It("loses nothing and keeps nothing torn when the disk is full for a while", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		s.Fail(&store.Faults{TornWrites: 3, Truncates: 2, Syncs: 2})
		until(func() error { return s.Save(nil, entries(11, 12)) })
		until(func() error { return s.Save(&hard, entries(13, 13)) })
		Expect(s.Close()).To(Succeed())
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.Entries).To(Equal(entries(1, 13)))
	})

	It("loses nothing when the folder fails while a snapshot takes the log's place", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		s.Fail(&store.Faults{Folders: 2})
		snap := quorum.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
		Expect(s.SaveSnapshot(snap, hard, entries(7, 10))).To(MatchError(store.ErrFault), "the snapshot's own name")
		Expect(s.SaveSnapshot(snap, hard, entries(7, 10))).To(MatchError(store.ErrFault))
		until(func() error { return s.SaveSnapshot(snap, hard, entries(7, 10)) })
		Expect(s.Save(nil, entries(11, 12))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		saved, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(saved.Entries).To(Equal(entries(7, 12)))
	})

	It("is used by one process at a time", func() {
		s, _, err := store.Open(dir)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		_, _, err = store.Open(dir)
		Expect(err).To(MatchError(ContainSubstring("another process")))
	})
})

// FuzzOpen reads arbitrary log files; none may panic or lose the error.
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
