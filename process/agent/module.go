package agent

import (
	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/openai"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// Module assembles an agent from a settings.Agent. A program can replace any of the
// parts with fx.Decorate.
var Module = fx.Module("agent", fx.Provide(newEngine, newOrders, newObserver, NewWith))

// Dependencies holds the external dependencies of an agent.
type Dependencies struct {
	fx.In

	Engine   outside.Engine
	Orders   outside.OrderExecutor
	Observer *observe.Observer
}

// New returns an agent whose dependencies are created from its settings. It serves
// nothing until Start.
func New(s settings.Agent) *Agent {
	return NewWith(s, Dependencies{Engine: newEngine(s), Orders: newOrders(s), Observer: newObserver(s)})
}

func newEngine(s settings.Agent) outside.Engine {
	return openai.NewEngine(s.EngineURL, newEngineClient())
}

func newOrders(s settings.Agent) outside.OrderExecutor {
	return openai.NewOrderClient(s.EngineURL, newEngineClient())
}

func newObserver(s settings.Agent) *observe.Observer {
	return observe.New(s.Name, s.OperatorAddress, s.OperatorTokenDigests)
}
