// Package kernel provides the registry in which plug-ins are found by name.
//
// A plug-in registers itself under a name in an init function of its package;
// settings and resources then refer to it by that name:
//
//	func init() { share.Policies.Register("random", share.Policy{Pick: pickRandom}) }
//	policy, err := share.Policies.Find("random")
package kernel

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Registry maps names to plug-ins of one kind. The zero value is an empty
// registry. Register must not be called after the program's start, because a
// Registry is not synchronized.
type Registry[T any] struct {
	Kind  string // used in errors, such as "sharing policy"
	items map[string]T
}

// Register adds a plug-in. It panics when the name is registered already, because
// that is a programming error.
func (r *Registry[T]) Register(name string, item T) {
	if _, exists := r.items[name]; exists {
		panic(fmt.Sprintf("%s %q is registered twice", r.Kind, name))
	}
	if r.items == nil {
		r.items = map[string]T{}
	}
	r.items[name] = item
}

// Find returns the plug-in with the given name, or an error that lists the
// registered names.
func (r *Registry[T]) Find(name string) (T, error) {
	item, ok := r.items[name]
	if !ok {
		return item, fmt.Errorf("unknown %s %q, have %s", r.Kind, name, strings.Join(r.Names(), ", "))
	}
	return item, nil
}

// Names returns the registered names, sorted.
func (r *Registry[T]) Names() []string { return slices.Sorted(maps.Keys(r.items)) }
