package version

import (
	"fmt"
	"maps"
	"slices"
)

// SourceFile is one file of a configuration that is split over several files.
type SourceFile struct {
	// Name is the file name that errors show.
	Name string
	Data []byte
}

// Merge decodes all files strictly and merges them. A name that is declared in two
// files is an error; nothing is overridden.
func Merge(files []SourceFile) (Document, DocumentErrors) {
	m := merger{document: emptyDocument(), origin: map[string]string{}}
	for _, file := range files {
		m.addFile(file)
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

type merger struct {
	document Document
	// origin maps the path of a declaration to the name of the file that contains it.
	origin   map[string]string
	problems DocumentErrors
}

func (m *merger) addFile(file SourceFile) {
	document, problems := Decode(file.Data)
	for _, problem := range problems {
		problem.Path = file.Name + ": " + problem.Path
		m.problems = append(m.problems, problem)
	}
	mergeSection(m, file.Name, "services", m.document.Services, document.Services)
	mergeSection(m, file.Name, "workspaces", m.document.Workspaces, document.Workspaces)
	mergeSection(m, file.Name, "profiles", m.document.Profiles, document.Profiles)
	mergeSection(m, file.Name, "regions", m.document.Regions, document.Regions)
	mergeSection(m, file.Name, "draining", m.document.Draining, document.Draining)
}

func mergeSection[T any](m *merger, file, section string, dst, src map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(src)) {
		path := join(section, name)
		if other, taken := m.origin[path]; taken {
			reason := fmt.Sprintf("is declared in %s and in %s", other, file)
			m.problems = append(m.problems, Problem{Path: path, Reason: reason})
			continue
		}
		m.origin[path] = file
		dst[name] = src[name]
	}
}
