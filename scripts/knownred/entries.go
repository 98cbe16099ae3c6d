package main

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// entry is one known failure.
type entry struct {
	// line is the line of KNOWN-RED.txt at which the entry begins.
	line int
	// directory is the directory of the package, as in ./bench/soak.
	directory string
	// test is the name of the test, subtests included, as go test prints it.
	test                       string
	command, seed, seen, issue string
}

// readEntries reads the list of known failures. A missing file lists none.
func readEntries(directory string) ([]entry, error) {
	data, err := os.ReadFile(filepath.Join(directory, listFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return parseEntries(string(data))
}

var fieldNames = []string{"test", "command", "seed", "seen", "issue"}

// block holds the fields of one entry by name.
type block struct {
	line   int
	fields map[string]string
	last   string
}

func parseEntries(text string) ([]entry, error) {
	var entries []entry
	firstLines := map[string]int{}
	current := block{fields: map[string]string{}}
	end := func() error {
		if len(current.fields) == 0 {
			return nil
		}
		e, err := current.entry()
		if err != nil {
			return err
		}
		name := e.directory + " " + e.test
		if first, listed := firstLines[name]; listed {
			return lineError(e.line, "%s is listed at line %d already", name, first)
		}
		firstLines[name] = e.line
		entries = append(entries, e)
		current = block{fields: map[string]string{}}
		return nil
	}
	for i, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		step := func() error { return current.addLine(i+1, line) }
		if strings.TrimSpace(line) == "" {
			step = end
		}
		if err := step(); err != nil {
			return nil, err
		}
	}
	return entries, end()
}

func (b *block) addLine(number int, line string) error {
	if line[0] == ' ' || line[0] == '\t' {
		if b.last == "" {
			return lineError(number, "continues no field")
		}
		b.fields[b.last] += " " + strings.TrimSpace(line)
		return nil
	}
	name, value, found := strings.Cut(line, ":")
	if !found || !slices.Contains(fieldNames, name) {
		return lineError(number, "%q is none of the fields %s", line, strings.Join(fieldNames, ", "))
	}
	if _, given := b.fields[name]; given {
		return lineError(number, "the field %s is given twice, or an empty line between two entries is missing", name)
	}
	if len(b.fields) == 0 {
		b.line = number
	}
	b.fields[name], b.last = strings.TrimSpace(value), name
	return nil
}

func (b *block) entry() (entry, error) {
	for _, name := range fieldNames {
		if strings.TrimSpace(b.fields[name]) == "" {
			return entry{}, lineError(b.line, "the entry has no %s", name)
		}
	}
	words := strings.Fields(b.fields["test"])
	if len(words) != 2 {
		return entry{}, lineError(b.line, "test needs the directory of a package and the name of a test, separated by a space")
	}
	directory, test := words[0], words[1]
	if directory != "." && directory != "./"+path.Clean(directory) {
		return entry{}, lineError(b.line, "%q must be the directory of one package, as in ./bench/soak", directory)
	}
	return entry{
		line: b.line, directory: directory, test: test, command: b.fields["command"], seed: b.fields["seed"],
		seen: b.fields["seen"], issue: b.fields["issue"],
	}, nil
}

func lineError(line int, format string, args ...any) error {
	return errors.Errorf("%s:%d: "+format, append([]any{listFile, line}, args...)...)
}
