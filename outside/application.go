package outside

import (
	"context"

	"github.com/mulberrylane/mulberrylane/request"
)

// ApplicationLoad is the load that an application target reports.
type ApplicationLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ApplicationCall is one call to an application target.
type ApplicationCall struct {
	request.CallBody
	// MaxReplyBytes bounds the body of the reply.
	MaxReplyBytes int64
	// Idempotent says that the call may be sent more than once.
	Idempotent bool
}

// Application is a plain service that is reached over HTTP.
type Application interface {
	// Call sends a call and reads the reply. A call that is not Repeatable is put
	// on a connection at most once. An error of kind NoTarget means that nothing
	// was sent; after any other error the call may have run.
	Call(ctx context.Context, call ApplicationCall) (request.CallReply, error)
	// Load reads the target's load.
	Load(ctx context.Context) (ApplicationLoad, error)
}
