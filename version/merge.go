package version

import (
	"fmt"
	"maps"
	"slices"
)

// SourceFile is one file of a configuration that is split over several.
type SourceFile struct {
	// Name is the name of the file, for errors.
	Name string
	Data []byte
}

// Merge decodes all parts strictly and merges them. A name that two parts
// declare is an error; nothing is overridden.
func Merge(parts []SourceFile) (Document, DocumentErrors) {
	m := merge{document: emptyDocument(), origin: map[string]string{}}
	for _, part := range parts {
		m.add(part)
	}
	return m.document, m.problems
}

func emptyDocument() Document {
	return Document{
		Services:   map[string]Service{},
		Workspaces: map[string]Workspace{},
		Profiles:   map[string]Profile{},
		Regions:    map[string]Region{},
		Draining:   map[string]Drain{},
	}
}

type merge struct {
	document Document
	// origin maps the path of a declaration to the part that holds it.
	origin   map[string]string
	problems DocumentErrors
}

func (m *merge) add(part SourceFile) {
	document, problems := Decode(part.Data)
	for _, problem := range problems {
		problem.Path = part.Name + ": " + problem.Path
		m.problems = append(m.problems, problem)
	}
	mergeMap(m, part.Name, "services", m.document.Services, document.Services)
	mergeMap(m, part.Name, "workspaces", m.document.Workspaces, document.Workspaces)
	mergeMap(m, part.Name, "profiles", m.document.Profiles, document.Profiles)
	mergeMap(m, part.Name, "regions", m.document.Regions, document.Regions)
	mergeMap(m, part.Name, "draining", m.document.Draining, document.Draining)
}

func mergeMap[T any](m *merge, part, section string, into, from map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		path := join(section, name)
		if other, taken := m.origin[path]; taken {
			reason := fmt.Sprintf("is declared in %s and in %s", other, part)
			m.problems = append(m.problems, Problem{Path: path, Reason: reason})
			continue
		}
		m.origin[path] = part
		into[name] = from[name]
	}
}
