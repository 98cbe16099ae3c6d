// Package deploy embeds the configurations of the two deployments, for programs
// that run without access to the files.
package deploy

import (
	"embed"
	"path"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

//go:embed lakkos/*.json vasilescu/*.json
var documents embed.FS

// Names lists the deployments.
func Names() []string { return []string{"lakkos", "vasilescu"} }

// Document returns the merged and validated configuration of a deployment.
func Document(name string) (version.Document, error) {
	entries, err := documents.ReadDir(name)
	if err != nil {
		return version.Document{}, errors.Errorf("there is no deployment %q", name)
	}
	var parts []version.SourceFile
	for _, entry := range entries {
		data, err := documents.ReadFile(path.Join(name, entry.Name()))
		if err != nil {
			return version.Document{}, errors.Wrap(err, entry.Name())
		}
		parts = append(parts, version.SourceFile{Name: entry.Name(), Data: data})
	}
	document, problems := version.Merge(parts)
	problems = append(problems, version.Validate(document)...)
	if len(problems) > 0 {
		return document, problems
	}
	return document, nil
}
