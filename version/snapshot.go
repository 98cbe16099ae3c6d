package version

import (
	"crypto/sha256"
	"encoding/hex"
)

// Revision is the number of an accepted configuration. It is the store revision at
// which the document was written, so it only increases.
type Revision int64

// Snapshot is one accepted document, compiled for lookups. It is immutable.
type Snapshot struct {
	Revision Revision
	Document Document

	workspaceByDigest map[string]string
}

// Compile returns the snapshot of a valid document.
func Compile(revision Revision, document Document) *Snapshot {
	s := &Snapshot{Revision: revision, Document: document, workspaceByDigest: map[string]string{}}
	for name, workspace := range document.Workspaces {
		for _, digest := range workspace.TokenDigests {
			s.workspaceByDigest[digest] = name
		}
	}
	return s
}

// TokenDigest returns the digest under which a bearer token is declared.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace that a bearer token belongs to.
func (s *Snapshot) WorkspaceOf(token string) (name string, ok bool) {
	name, ok = s.workspaceByDigest[TokenDigest(token)]
	return name, ok
}

// ProfileOf returns the profile of a service and its name.
func (s *Snapshot) ProfileOf(service string) (name string, profile Profile) {
	name = s.Document.Services[service].Profile
	return name, s.Document.Profiles[name]
}
