package flow_test

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"boragepost/core/flow"
	"boragepost/core/model"
)

// TestFlowMapMatchesGoMap compares a flow map with a Go map over random
// histories. It draws few keys, so that long runs of slots are occupied.
func TestFlowMapMatchesGoMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m flow.TestMap
		want := map[flow.Key]model.ServerID{}
		key := rapid.Custom(func(t *rapid.T) flow.Key { return flow.Key(rapid.IntRange(0, 60).Draw(t, "key")) })
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k, s := key.Draw(t, "k"), model.ServerID(rapid.IntRange(1, 9).Draw(t, "server"))
				m.Set(k, s)
				want[k] = s
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "k")
				m.Remove(k)
				delete(want, k)
			},
			"keep": func(t *rapid.T) {
				odd := model.ServerID(rapid.IntRange(0, 1).Draw(t, "odd"))
				calls := m.Keep(func(_ flow.Key, s model.ServerID) bool { return s%2 == odd })
				for k := range want {
					if calls[k] == 0 {
						t.Fatalf("key %d was not visited", k)
					}
				}
				maps.DeleteFunc(want, func(_ flow.Key, s model.ServerID) bool { return s%2 != odd })
			},
			"": func(t *rapid.T) {
				if m.Len() != len(want) {
					t.Fatalf("has %d records, want %d", m.Len(), len(want))
				}
				for k := range flow.Key(61) {
					got, ok := m.Get(k)
					if s, in := want[k]; ok != in || ok && got != s {
						t.Fatalf("key %d is %d, %v; want %d, %v", k, got, ok, s, in)
					}
				}
			},
		})
	})
}
