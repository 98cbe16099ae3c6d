// Package files reads a configuration that is split over the JSON files of a directory.
package files

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

// Load reads the configuration at path, which is a JSON file or a directory of JSON
// files to merge. The error is of type version.DocumentErrors when the files could be
// read but are not valid.
func Load(path string) (version.Document, error) {
	files, err := readFiles(path)
	if err != nil {
		return version.Document{}, err
	}
	document, problems := version.Merge(files)
	problems = append(problems, version.Validate(document)...)
	return document, problems.Err()
}

func readFiles(path string) ([]version.SourceFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	names := []string{path}
	if info.IsDir() {
		names, err = filepath.Glob(filepath.Join(path, "*.json"))
		if err == nil && len(names) == 0 {
			err = errors.Errorf("%s contains no .json file", path)
		}
	}
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	files := make([]version.SourceFile, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "configuration")
		}
		files = append(files, version.SourceFile{Name: filepath.Base(name), Data: data})
	}
	return files, nil
}
