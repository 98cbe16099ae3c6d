package request_test

import (
	"fmt"
	"time"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// A Recovery is driven by events alone, without sockets, clocks or goroutines. Here
// the first target fails after two tokens and the generation resumes at a second one.
func ExampleRecovery() {
	now := time.Unix(0, 0)
	output := request.NewOutput(4)
	recovery := request.NewRecovery(request.RecoveryPolicy{
		Deadline:      now.Add(time.Minute),
		ResumeTimeout: 3 * time.Second,
		MaxTokens:     4,
	}, output)
	step := func(event request.Event) {
		for _, action := range recovery.Step(now, event) {
			describe(action)
		}
	}
	step(request.Event{Type: request.EventStart})
	step(request.Event{Type: request.EventTargetSelected, Target: "naxos-1"})
	step(request.Event{Type: request.EventTokens, Attempt: 1, Position: 0, Tokens: []request.TokenID{7, 8}})
	step(request.Event{Type: request.EventFailed, Attempt: 1, Kind: fault.TargetLost})
	step(request.Event{Type: request.EventTargetSelected, Target: "paros-1"})
	step(request.Event{Type: request.EventTokens, Attempt: 1, Position: 2, Tokens: []request.TokenID{6}})
	step(request.Event{Type: request.EventTokens, Attempt: 2, Position: 2, Tokens: []request.TokenID{9, 10}})
	step(request.Event{Type: request.EventEnded, Attempt: 2, Position: 4, Finish: request.FinishLength})
	fmt.Println(output.Tokens(), recovery.WasRun())
	// Output:
	// wake at 1m0s
	// run attempt 1 on naxos-1
	// deliver [7 8]
	// pick, avoiding [naxos-1]
	// wake at 3s
	// run attempt 2 on paros-1
	// wake at 1m0s
	// deliver [9 10]
	// end: none length
	// [7 8 9 10] yes
}

func describe(action request.Action) {
	switch action.Type {
	case request.ActionSelectTarget:
		if len(action.Avoid) > 0 {
			fmt.Println("pick, avoiding", action.Avoid)
		}
	case request.ActionStartAttempt:
		fmt.Printf("run attempt %d on %s\n", action.Attempt, action.Target)
	case request.ActionDeliver:
		fmt.Println("deliver", action.Tokens)
	case request.ActionSetTimer:
		fmt.Println("wake at", action.At.Sub(time.Unix(0, 0)))
	case request.ActionEnd:
		fmt.Println("end:", action.Kind, action.Finish)
	default:
	}
}
