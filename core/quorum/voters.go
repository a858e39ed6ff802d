package quorum

import "slices"

// voterSets are the voters as of one index of the log. They are immutable.
//
// When a voter is replaced, both the former and the next set decide until the
// replacement is committed, so that it needs neither the replaced voter nor its
// successor: either may be lost meanwhile.
type voterSets struct {
	current []string
	// outgoing is the former set while a replacement is under way, or nil.
	outgoing []string
}

// all returns the members of either set.
func (s voterSets) all() []string {
	all := slices.Clone(s.current)
	for _, id := range s.outgoing {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// contain reports whether a replica is in either set.
func (s voterSets) contain(id string) bool {
	return slices.Contains(s.current, id) || slices.Contains(s.outgoing, id)
}

// replacing reports whether a replacement is under way.
func (s voterSets) replacing() bool { return len(s.outgoing) > 0 }

// agree reports whether the replicas that in holds for are a quorum of each set.
func (s voterSets) agree(in func(id string) bool) bool {
	return isQuorum(s.current, in) && (!s.replacing() || isQuorum(s.outgoing, in))
}

func isQuorum(voters []string, in func(id string) bool) bool {
	count := 0
	for _, id := range voters {
		if in(id) {
			count++
		}
	}
	return count >= len(voters)/2+1
}

// reached returns the highest number that a quorum of each set has reached.
func (s voterSets) reached(number func(id string) uint64) uint64 {
	reached := quorumReached(s.current, number)
	if s.replacing() {
		reached = min(reached, quorumReached(s.outgoing, number))
	}
	return reached
}

func quorumReached(voters []string, number func(id string) uint64) uint64 {
	var numbers []uint64
	for _, id := range voters {
		numbers = append(numbers, number(id))
	}
	slices.Sort(numbers)
	return numbers[len(numbers)-(len(voters)/2+1)]
}

// replace returns voters with removed replaced by added.
func replace(voters []string, removed, added string) []string {
	next := slices.Clone(voters)
	next[slices.Index(next, removed)] = added
	return next
}
