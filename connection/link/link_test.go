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

const testWait = 30 * time.Second

// TestRoles dials a listener that admits entries, as processes of each role.
func TestRoles(t *testing.T) {
	for _, dialled := range []struct {
		name           string
		listens, dials keys.Role
		admitted       bool
	}{
		{"an entry reaches an agent", keys.RoleAgent, keys.RoleEntry, true},
		{"an agent is not admitted by an agent", keys.RoleAgent, keys.RoleAgent, false},
		{"an entry does not trust another entry", keys.RoleEntry, keys.RoleEntry, false},
	} {
		t.Run(dialled.name, func(t *testing.T) {
			authority, err := keys.NewCA(t.TempDir())
			assert.NilError(t, err)
			err = exchange(t, pairOf(t, authority, dialled.listens), pairOf(t, authority, dialled.dials))
			assert.Equal(t, err == nil, dialled.admitted, "%v", err)
		})
	}
}

func TestForeignAuthorityIsRefused(t *testing.T) {
	own, err := keys.NewCA(t.TempDir())
	assert.NilError(t, err)
	foreign, err := keys.NewCA(t.TempDir())
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, pairOf(t, own, keys.RoleAgent), pairOf(t, foreign, keys.RoleEntry)) != nil)
}

func pairOf(t *testing.T, authority *keys.CA, role keys.Role) *keys.Credentials {
	t.Helper()
	files, err := authority.Issue(role, "process-"+string(role)+"-"+time.Now().Format("150405.000000000"))
	assert.NilError(t, err)
	pair, err := keys.Load(files)
	assert.NilError(t, err)
	return pair
}

// exchange sends one frame over a new link and reads its echo.
func exchange(t *testing.T, server, client *keys.Credentials) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	listener, err := link.Listen("127.0.0.1:0", server.ServerConfig(keys.RoleEntry))
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go echo(ctx, listener)
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

func echo(ctx context.Context, listener *link.Listener) {
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
