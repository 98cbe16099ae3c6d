package link_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/connection/keys"
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
)

const testTimeout = 30 * time.Second

// Each case dials a listener that admits only entries, with certificates of the given
// roles.
func TestLink_AdmitsOnlyPermittedRoles(t *testing.T) {
	for _, test := range []struct {
		name           string
		listens, dials keys.Role
		admitted       bool
	}{
		{"an entry reaches an agent", keys.RoleAgent, keys.RoleEntry, true},
		{"an agent is not admitted by an agent", keys.RoleAgent, keys.RoleAgent, false},
		{"an entry does not trust another entry", keys.RoleEntry, keys.RoleEntry, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ca, err := keys.NewCA(t.TempDir())
			assert.NilError(t, err)
			err = echoOverLink(t, issueCredentials(t, ca, test.listens), issueCredentials(t, ca, test.dials))
			assert.Equal(t, err == nil, test.admitted, "%v", err)
		})
	}
}

func TestLink_RejectsCertificateFromOtherCA(t *testing.T) {
	ca, err := keys.NewCA(t.TempDir())
	assert.NilError(t, err)
	otherCA, err := keys.NewCA(t.TempDir())
	assert.NilError(t, err)
	assert.Assert(t, echoOverLink(t, issueCredentials(t, ca, keys.RoleAgent), issueCredentials(t, otherCA, keys.RoleEntry)) != nil)
}

func issueCredentials(t *testing.T, ca *keys.CA, role keys.Role) *keys.Credentials {
	t.Helper()
	files, err := ca.Issue(role, "process-"+string(role)+"-"+time.Now().Format("150405.000000000"))
	assert.NilError(t, err)
	credentials, err := keys.Load(files)
	assert.NilError(t, err)
	return credentials
}

// echoOverLink sends one frame over a new link and waits for its echo.
func echoOverLink(t *testing.T, server, client *keys.Credentials) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	listener, err := link.Listen("127.0.0.1:0", server.ServerConfig(keys.RoleEntry))
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go serveEcho(ctx, listener)
	dialer, err := link.NewDialer("127.0.0.1", client.ClientConfig(keys.RoleAgent))
	assert.NilError(t, err)
	defer func() { _ = dialer.Close() }()
	l, err := dialer.Dial(ctx, listener.Address())
	if err != nil {
		return err
	}
	stream, err := l.Open(ctx)
	if err != nil {
		return err
	}
	if err := stream.Write(wire.ControlFrame{Revision: 7}); err != nil {
		return err
	}
	var frame wire.ControlFrame
	if err := stream.Read(&frame); err != nil {
		return err
	}
	assert.Equal(t, frame.Revision, int64(7))
	return nil
}

func serveEcho(ctx context.Context, listener *link.Listener) {
	accepted, err := listener.Accept(ctx)
	if err != nil {
		return
	}
	stream, err := accepted.Accept(ctx)
	if err != nil {
		return
	}
	var frame wire.ControlFrame
	if stream.Read(&frame) == nil {
		_ = stream.Write(frame)
	}
}
