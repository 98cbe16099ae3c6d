package command

import (
	"context"
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

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/outside/hostlist"
)

// Environment variables that set the defaults of flags.
const (
	processesEnv = "MLCTL_PROCESSES"
	hostListEnv  = "MLCTL_HOST_LIST"
	tokenEnv     = "MLCTL_TOKEN"
)

// queryTimeout bounds one request to a process.
const queryTimeout = 5 * time.Second

// maxConcurrentQueries bounds the processes that are queried at the same time.
const maxConcurrentQueries = 64

// processFlags holds the flags by which a command finds and queries the
// operators' endpoints of the processes.
type processFlags struct {
	addresses []string
	hostList  string
	token     string
}

// addProcessFlags adds the flags that give the addresses of the processes.
func addProcessFlags(command *cobra.Command) *processFlags {
	p := &processFlags{}
	command.Flags().StringSliceVar(&p.addresses, "process", listFromEnv(processesEnv),
		"operators' address of a process, repeatable (or "+processesEnv+", separated by commas)")
	command.Flags().StringVar(&p.hostList, "host-list", os.Getenv(hostListEnv),
		"URL of the host list, to find the agents (or "+hostListEnv+")")
	command.Flags().StringVar(&p.token, "token", os.Getenv(tokenEnv),
		"operator token (or "+tokenEnv+")")
	return p
}

func listFromEnv(name string) []string {
	if value := os.Getenv(name); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// processResult is the response of one process, or the error of the query.
type processResult[T any] struct {
	Address string
	Body    T
	Err     error
}

// resolveAddresses returns the operators' addresses of all processes, including
// those on the host list.
func (p *processFlags) resolveAddresses(ctx context.Context) ([]string, error) {
	addresses := slices.Clone(p.addresses)
	if p.hostList != "" {
		client := &http.Client{Timeout: queryTimeout}
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

// queryAll sends a GET request to every process and returns the results sorted by
// address. Err is set for each process that cannot be reached.
func queryAll[T any](ctx context.Context, p *processFlags, path string, query url.Values) ([]processResult[T], error) {
	addresses, err := p.resolveAddresses(ctx)
	if err != nil {
		return nil, err
	}
	results := make([]processResult[T], len(addresses))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var workers sync.WaitGroup
	for i, address := range addresses {
		semaphore <- struct{}{}
		workers.Go(func() {
			defer func() { <-semaphore }()
			results[i] = queryProcess[T](ctx, p, address, path, query)
		})
	}
	workers.Wait()
	return results, nil
}

func queryProcess[T any](ctx context.Context, p *processFlags, address, path string, query url.Values) processResult[T] {
	result := processResult[T]{Address: address}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	endpoint := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.String(), nil)
	if err != nil {
		result.Err = errors.Wrap(err, "create request")
		return result
	}
	httpRequest.Header.Set("Authorization", "Bearer "+p.token)
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		result.Err = errors.Wrap(err, "not reached")
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		result.Err = errors.Errorf("response status %d: %s", response.StatusCode, strings.TrimSpace(string(message)))
		return result
	}
	result.Err = errors.Wrap(bounded.DecodeJSON(response.Body, &result.Body), "decode response")
	return result
}
