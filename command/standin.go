package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/standin/application"
	"github.com/mulberrylane/mulberrylane/standin/engine"
	"github.com/mulberrylane/mulberrylane/standin/hosts"
	"github.com/mulberrylane/mulberrylane/standin/kv"
	"github.com/mulberrylane/mulberrylane/version"
	"github.com/mulberrylane/mulberrylane/version/files"
)

// readHeaderTimeout bounds how long a stand-in waits for request headers.
const readHeaderTimeout = 5 * time.Second

func newStandin() *cobra.Command {
	command := &cobra.Command{Use: "standin", Short: "Run a stand-in of an outside system, for trials"}
	command.AddCommand(newStandinEngine(), newStandinPlatform(), newStandinApplication())
	return command
}

func newStandinEngine() *cobra.Command {
	var address, configPath string
	command := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in model engine",
		Example: "  mlctl standin engine --address 127.0.0.1:8000 --config engine.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var config engine.Config
			if err := readJSON(configPath, &config); err != nil {
				return err
			}
			server, err := engine.Serve(config, address)
			if err != nil {
				return err
			}
			waitForSignal(cmd.Context())
			return server.Shutdown(context.WithoutCancel(cmd.Context()))
		},
	}
	command.Flags().StringVar(&address, "address", "", "IP address and TCP port")
	command.Flags().StringVar(&configPath, "config", "", "JSON file with the engine's description")
	markRequired(command, "address", "config")
	return command
}

func newStandinApplication() *cobra.Command {
	var addresses []string
	var callDuration time.Duration
	command := &cobra.Command{
		Use:     "application",
		Short:   "Run the replicas of a stand-in application service, which share their records",
		Example: "  mlctl standin application --address 127.0.0.1:8101 --address 127.0.0.1:8102",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			executions := application.NewExecutionLog()
			for i, address := range addresses {
				if _, err := application.Serve(fmt.Sprintf("replica-%d", i), executions, callDuration, address); err != nil {
					return err
				}
			}
			waitForSignal(cmd.Context())
			return nil
		},
	}
	command.Flags().StringSliceVar(&addresses, "address", nil, "IP address and TCP port of a replica, repeatable")
	command.Flags().DurationVar(&callDuration, "work", 20*time.Millisecond, "how long a call takes")
	markRequired(command, "address")
	return command
}

func newStandinPlatform() *cobra.Command {
	var address, hostsPath, documentPath string
	var lag time.Duration
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in key-value service and host list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			handler, err := platformHandler(hostsPath, documentPath, lag)
			if err != nil {
				return err
			}
			return serveUntilSignal(cmd.Context(), address, handler)
		},
	}
	command.Flags().StringVar(&address, "address", "", "IP address and TCP port")
	command.Flags().StringVar(&hostsPath, "hosts", "", "JSON file with the placements of the host list")
	command.Flags().StringVar(&documentPath, "document", "", "JSON file with the configuration in force from the start")
	command.Flags().DurationVar(&lag, "lag", 0, "how late the host list shows changes")
	markRequired(command, "address", "hosts")
	return command
}

func platformHandler(hostsPath, documentPath string, lag time.Duration) (http.Handler, error) {
	var placements []outside.ListedTarget
	if err := readJSON(hostsPath, &placements); err != nil {
		return nil, err
	}
	store := kv.New()
	if documentPath != "" {
		if err := putDocument(store, documentPath); err != nil {
			return nil, err
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v3/", store.EtcdHandler())
	mux.Handle("GET /hosts", hosts.New(lag, placements))
	return mux, nil
}

// putDocument stores the configuration at path as the accepted revision.
func putDocument(store *kv.Store, path string) error {
	document, err := files.Load(path)
	if err != nil {
		return err
	}
	record := version.RevisionRecord{Author: "standin", Time: time.Now(), Sequence: 1, Document: document}
	body, err := record.Encode()
	if err != nil {
		return err
	}
	store.Put(revision.DocumentKey, body)
	return nil
}

// readJSON decodes the JSON file at path into target and rejects unknown fields.
func readJSON(path string, target any) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(target), path)
}

func serveUntilSignal(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return errors.Wrap(server.Close(), "close")
	}
}

func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func markRequired(command *cobra.Command, flags ...string) {
	for _, flag := range flags {
		_ = command.MarkFlagRequired(flag)
	}
}
