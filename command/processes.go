package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/outside/hostlist"
)

// The environment variables that stand for flags.
const (
	processesVariable = "MLCTL_PROCESSES"
	hostListVariable  = "MLCTL_HOST_LIST"
	tokenVariable     = "MLCTL_TOKEN"
)

// askTimeout bounds one question to a process.
const askTimeout = 5 * time.Second

// askedAtOnce bounds the processes that are asked at the same time.
const askedAtOnce = 64

// processes reaches the operators' endpoints of all processes.
type processes struct {
	addresses []string
	hostList  string
	token     string
}

// addProcessFlags adds the flags that say where the processes are.
func addProcessFlags(command *cobra.Command) *processes {
	p := &processes{}
	command.Flags().StringSliceVar(&p.addresses, "process", splitVariable(processesVariable),
		"operators' address of a process, repeatable (or "+processesVariable+", separated by commas)")
	command.Flags().StringVar(&p.hostList, "host-list", os.Getenv(hostListVariable),
		"URL of the host list, to find the agents (or "+hostListVariable+")")
	command.Flags().StringVar(&p.token, "token", os.Getenv(tokenVariable),
		"operator token (or "+tokenVariable+")")
	return p
}

func splitVariable(name string) []string {
	if value := os.Getenv(name); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// answerOf is what one process answered.
type answerOf[T any] struct {
	Address string
	Body    T
	Err     error
}

// find returns the addresses of all processes, those on the host list included.
func (p *processes) find(ctx context.Context) ([]string, error) {
	addresses := slices.Clone(p.addresses)
	if p.hostList != "" {
		client := &http.Client{Timeout: askTimeout}
		placements, err := hostlist.New(p.hostList, client).Targets(ctx)
		if err != nil {
			return nil, err
		}
		for _, placement := range placements {
			if placement.OperatorAddress != "" {
				addresses = append(addresses, placement.OperatorAddress)
			}
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if len(addresses) == 0 {
		return nil, errors.New("no process given: set --process or --host-list")
	}
	return addresses, nil
}

// askAll sends a GET to every process and returns the answers in the order of
// their addresses. A process that cannot be reached has Err set.
func askAll[T any](ctx context.Context, p *processes, path string, query url.Values) ([]answerOf[T], error) {
	addresses, err := p.find(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]answerOf[T], len(addresses))
	slots := make(chan struct{}, askedAtOnce)
	var asked sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			answers[i] = askOne[T](ctx, p, address, path, query)
		})
	}
	asked.Wait()
	return answers, nil
}

func askOne[T any](ctx context.Context, p *processes, address, path string, query url.Values) answerOf[T] {
	answer := answerOf[T]{Address: address}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		answer.Err = errors.Wrap(err, "request")
		return answer
	}
	ask.Header.Set("Authorization", "Bearer "+p.token)
	response, err := http.DefaultClient.Do(ask)
	if err != nil {
		answer.Err = errors.Wrap(err, "not reached")
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		answer.Err = errors.Errorf("answered %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
		return answer
	}
	answer.Err = errors.Wrap(json.NewDecoder(response.Body).Decode(&answer.Body), "answer")
	return answer
}
