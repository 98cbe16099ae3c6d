package command

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/configuration"
)

// storeTimeout bounds one request to the store.
const storeTimeout = 3 * time.Second

// storeFlags holds the flags that give the store's endpoints and, for commands that
// change the configuration, the author and the note.
type storeFlags struct {
	endpoints []string
	author    string
	note      string
}

func addStoreFlags(command *cobra.Command) *storeFlags {
	s := &storeFlags{}
	command.Flags().StringSliceVar(&s.endpoints, "store", listFromEnv(storeEnv),
		"base URL of the key-value service, repeatable (or "+storeEnv+", separated by commas)")
	return s
}

func (s *storeFlags) addAuthor(command *cobra.Command) {
	author := os.Getenv(authorEnv)
	if author == "" {
		author = os.Getenv("USER")
	}
	command.Flags().StringVar(&s.author, "author", author, "who changes the configuration (or "+authorEnv+")")
	command.Flags().StringVar(&s.note, "note", "", "why, for the history")
}

func (s *storeFlags) client() (*configuration.Client, error) {
	if len(s.endpoints) == 0 {
		return nil, errors.Errorf("no key-value service given: set --store or %s, such as http://10.0.0.1:2379", storeEnv)
	}
	return configuration.NewClient(etcd.NewStore(s.endpoints, &http.Client{Timeout: storeTimeout})), nil
}

// changeClient returns the client for a command that changes the configuration. It
// fails when no author is given.
func (s *storeFlags) changeClient() (*configuration.Client, error) {
	if s.author == "" {
		return nil, errors.Errorf("no author given: set --author or %s, so that other operators see who changed the configuration", authorEnv)
	}
	return s.client()
}
