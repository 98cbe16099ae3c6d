package version

import "strings"

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the invalid value, such as services.bookings.profile.
	Path string `json:"path"`
	// Reason describes the error.
	Reason string `json:"reason"`
}

// String formats the problem as one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// DocumentErrors holds all problems of a document and implements error.
type DocumentErrors []Problem

// Error implements the error interface, with one line per problem.
func (p DocumentErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil when p is empty.
func (p DocumentErrors) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
