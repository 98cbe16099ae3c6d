package version

import "strings"

// Problem is one error in a document.
type Problem struct {
	// Path is where it stands, such as services.bookings.profile.
	Path string `json:"path"`
	// Reason says what is wrong there.
	Reason string `json:"reason"`
}

// String returns the problem as one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// DocumentErrors is all errors of a document, an error itself.
type DocumentErrors []Problem

// Error implements the error interface, one problem a line.
func (p DocumentErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil when there is none.
func (p DocumentErrors) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
