package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// DifferenceKind says how a place of the document changes.
type DifferenceKind string

// The kinds of difference.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one place at which two documents differ.
type Difference struct {
	Kind DifferenceKind `json:"kind"`
	Path string         `json:"path"`
	// Before and After are JSON; absent where there was or will be nothing.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case Removed:
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Differences returns where after differs from before, in order of the paths.
// Objects are compared field by field, lists as a whole.
func Differences(before, after Document) []Difference {
	return differences("", mustMarshal(before), mustMarshal(after))
}

// mustMarshal encodes a value of this package, which cannot fail.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func differences(path string, before, after json.RawMessage) []Difference {
	if bytes.Equal(before, after) {
		return nil
	}
	left, leftOK := asObject(before)
	right, rightOK := asObject(after)
	switch {
	case before == nil && (!rightOK || named(path)):
		return []Difference{{Kind: Added, Path: path, After: after}}
	case after == nil && (!leftOK || named(path)):
		return []Difference{{Kind: Removed, Path: path, Before: before}}
	case !leftOK && before != nil, !rightOK && after != nil:
		return []Difference{{Kind: Changed, Path: path, Before: before, After: after}}
	}
	var list []Difference
	names := maps.Clone(left)
	if names == nil {
		names = map[string]json.RawMessage{}
	}
	maps.Copy(names, right)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		list = append(list, differences(join(path, name), left[name], right[name])...)
	}
	return list
}

// named says whether path is below a section: such an object is shown whole when
// it is added or removed.
func named(path string) bool { return bytes.ContainsRune([]byte(path), '.') }

func asObject(data json.RawMessage) (map[string]json.RawMessage, bool) {
	var object map[string]json.RawMessage
	ok := json.Unmarshal(data, &object) == nil && object != nil
	return object, ok
}

// Effect is what a change of the document bears on.
type Effect struct {
	// Services are those whose declaration or profile changes, with the reason.
	Services []ServiceEffect `json:"services,omitempty"`
	// Workspaces are those whose declaration changes.
	Workspaces []string `json:"workspaces,omitempty"`
	// Targets are those that begin or end to drain.
	Targets []string `json:"targets,omitempty"`
}

// ServiceEffect tells why a service is affected.
type ServiceEffect struct {
	Service string `json:"service"`
	// Declaration and Profile say which of the two changes.
	Declaration bool `json:"declaration,omitempty"`
	Profile     bool `json:"profile,omitempty"`
	// Orders says that targets may be given orders.
	Orders bool `json:"orders,omitempty"`
}

// EffectOf returns what the change from before to after bears on.
func EffectOf(before, after Document) Effect {
	var effect Effect
	for _, name := range changedNames(before.Services, after.Services) {
		effect.Services = append(effect.Services, ServiceEffect{Service: name, Declaration: true, Orders: orders(before, after, name)})
	}
	profiles := changedNames(before.Profiles, after.Profiles)
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		if !slices.Contains(profiles, after.Services[name].Profile) {
			continue
		}
		at := slices.IndexFunc(effect.Services, func(s ServiceEffect) bool { return s.Service == name })
		if at < 0 {
			effect.Services = append(effect.Services, ServiceEffect{Service: name})
			at = len(effect.Services) - 1
		}
		effect.Services[at].Profile = true
	}
	effect.Workspaces = changedNames(before.Workspaces, after.Workspaces)
	effect.Targets = changedNames(before.Draining, after.Draining)
	return effect
}

// orders says whether a change of a service makes targets load other models or
// take another role.
func orders(before, after Document, service string) bool {
	old, wanted := before.Services[service].Model, after.Services[service].Model
	if wanted == nil || wanted.LoadsPerMinute == 0 {
		return false
	}
	return old == nil || old.Version != wanted.Version || old.Role != wanted.Role ||
		!slices.Equal(old.Preload, wanted.Preload) || !slices.Equal(old.Adapters, wanted.Adapters)
}

func changedNames[T any](before, after map[string]T) []string {
	var names []string
	all := map[string]bool{}
	for name := range before {
		all[name] = true
	}
	for name := range after {
		all[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, had := before[name]
		wanted, has := after[name]
		if had != has || !bytes.Equal(mustMarshal(old), mustMarshal(wanted)) {
			names = append(names, name)
		}
	}
	return names
}
