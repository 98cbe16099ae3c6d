package version

import "strings"

// IsIdempotent reports whether calls with the given method and path are declared
// idempotent. Calls that are not declared must run at most once.
func (a Application) IsIdempotent(method, path string) bool {
	for _, declared := range a.Idempotent {
		if declared.Method != method {
			continue
		}
		if declared.Path == path {
			return true
		}
		if strings.HasSuffix(declared.Path, "/") && strings.HasPrefix(path, declared.Path) {
			return true
		}
	}
	return false
}
