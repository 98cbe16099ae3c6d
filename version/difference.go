package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// DifferenceKind is the way in which a value of the document changes.
type DifferenceKind string

// The kinds of difference.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one value in which two documents differ.
type Difference struct {
	Kind DifferenceKind `json:"kind"`
	Path string         `json:"path"`
	// Before and After are the old and the new value as JSON; Before is absent for an
	// added value, After for a removed one.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String formats the difference as one line.
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

// Differences returns the differences between two documents, sorted by path. Objects
// are compared field by field, lists as a whole.
func Differences(before, after Document) []Difference {
	return differences("", mustMarshal(before), mustMarshal(after))
}

// mustMarshal encodes a value whose type is declared in this package, which cannot
// fail.
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
	case before == nil && (!rightOK || belowSection(path)):
		return []Difference{{Kind: Added, Path: path, After: after}}
	case after == nil && (!leftOK || belowSection(path)):
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

// belowSection reports whether path is below a top-level section of the document. Such
// an object is shown as a whole when it is added or removed.
func belowSection(path string) bool { return bytes.ContainsRune([]byte(path), '.') }

func asObject(data json.RawMessage) (map[string]json.RawMessage, bool) {
	var object map[string]json.RawMessage
	ok := json.Unmarshal(data, &object) == nil && object != nil
	return object, ok
}

// Effect lists what a change of the document affects.
type Effect struct {
	// Services lists the services whose declaration or profile changes.
	Services []ServiceEffect `json:"services,omitempty"`
	// Workspaces lists the workspaces whose declaration changes.
	Workspaces []string `json:"workspaces,omitempty"`
	// Targets lists the targets whose drain declaration is added, removed or changed.
	Targets []string `json:"targets,omitempty"`
}

// ServiceEffect describes why a service is affected.
type ServiceEffect struct {
	Service string `json:"service"`
	// Declaration is set when the service's declaration changes, Profile when its
	// profile changes.
	Declaration bool `json:"declaration,omitempty"`
	Profile     bool `json:"profile,omitempty"`
	// Orders is set when the change may cause orders to targets.
	Orders bool `json:"orders,omitempty"`
}

// EffectOf returns the effect of the change from before to after.
func EffectOf(before, after Document) Effect {
	var effect Effect
	for _, name := range changedNames(before.Services, after.Services) {
		effect.Services = append(effect.Services, ServiceEffect{Service: name, Declaration: true, Orders: needsOrders(before, after, name)})
	}
	profiles := changedNames(before.Profiles, after.Profiles)
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		if !slices.Contains(profiles, after.Services[name].Profile) {
			continue
		}
		i := slices.IndexFunc(effect.Services, func(s ServiceEffect) bool { return s.Service == name })
		if i < 0 {
			effect.Services = append(effect.Services, ServiceEffect{Service: name})
			i = len(effect.Services) - 1
		}
		effect.Services[i].Profile = true
	}
	effect.Workspaces = changedNames(before.Workspaces, after.Workspaces)
	effect.Targets = changedNames(before.Draining, after.Draining)
	return effect
}

// needsOrders reports whether the change of a service requires orders, because targets
// must load other models or adapters or take another role.
func needsOrders(before, after Document, service string) bool {
	old, updated := before.Services[service].Model, after.Services[service].Model
	if updated == nil || updated.LoadsPerMinute == 0 {
		return false
	}
	return old == nil || old.Version != updated.Version || old.Role != updated.Role ||
		!slices.Equal(old.Preload, updated.Preload) || !slices.Equal(old.Adapters, updated.Adapters)
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
		updated, has := after[name]
		if had != has || !bytes.Equal(mustMarshal(old), mustMarshal(updated)) {
			names = append(names, name)
		}
	}
	return names
}
