package version

import "strings"

// IsIdempotent says that a call may be repeated: its method and path are declared as
// idempotent. A call that is not declared may not be repeated.
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
