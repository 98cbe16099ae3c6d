package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	planFile          = "plan.json"
)

// Plan holds the addresses of the processes of a demonstration.
type Plan struct {
	// Entries and Engines are base URLs.
	Entries []string `json:"entries"`
	Engines []string `json:"engines"`
	// Targets holds the target ID of each engine.
	Targets []request.TargetID `json:"targets"`
	// Application is the base URL of a replica of the application service.
	Application string `json:"application,omitempty"`
	// HostList is the URL of the host list.
	HostList string `json:"hostList"`
	// EntryOperatorAddresses and AgentOperatorAddresses hold the addresses that entries
	// and agents offer to operators.
	EntryOperatorAddresses []string `json:"entryOperators"`
	AgentOperatorAddresses []string `json:"agentOperators"`
}

// ReadPlan reads the plan that Prepare wrote into directory.
func ReadPlan(directory string) (Plan, error) {
	var plan Plan
	data, err := os.ReadFile(filepath.Join(directory, planFile))
	if err != nil {
		return plan, errors.Wrap(err, "plan")
	}
	return plan, errors.Wrap(json.Unmarshal(data, &plan), "plan")
}

// AwaitReady waits until every entry accepts requests.
func (p Plan) AwaitReady(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range p.Entries {
		for !ready(ctx, client, entry) {
			select {
			case <-ctx.Done():
				return errors.Errorf("%s did not become ready", entry)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, client *http.Client, entry string) bool {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
