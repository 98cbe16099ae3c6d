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
	// MaxReplyBytes limits the size of the reply's body.
	MaxReplyBytes int64
	// Idempotent means that the call may be sent more than once.
	Idempotent bool
}

// Application is an ordinary HTTP service.
type Application interface {
	// Call sends a call and reads the reply. A call that is not idempotent is sent at
	// most once. An error of kind NoTarget means that nothing was sent; after any other
	// error the call may have been executed.
	Call(ctx context.Context, call ApplicationCall) (request.CallReply, error)
	// Load returns the load that the target reports.
	Load(ctx context.Context) (ApplicationLoad, error)
}
