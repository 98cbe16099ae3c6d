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

// storeTimeout bounds one call to the store.
const storeTimeout = 3 * time.Second

// storeFlags says where the store is and who changes it.
type storeFlags struct {
	endpoints []string
	author    string
	note      string
}

func addStoreFlags(command *cobra.Command) *storeFlags {
	s := &storeFlags{}
	command.Flags().StringSliceVar(&s.endpoints, "store", splitVariable(storeVariable),
		"base URL of the key-value service, repeatable (or "+storeVariable+", separated by commas)")
	return s
}

func (s *storeFlags) addAuthor(command *cobra.Command) {
	author := os.Getenv(authorVariable)
	if author == "" {
		author = os.Getenv("USER")
	}
	command.Flags().StringVar(&s.author, "author", author, "who changes the configuration (or "+authorVariable+")")
	command.Flags().StringVar(&s.note, "note", "", "why, for the history")
}

func (s *storeFlags) client() (*configuration.Client, error) {
	if len(s.endpoints) == 0 {
		return nil, errors.Errorf("no key-value service given: set --store or %s, such as http://10.0.0.1:2379", storeVariable)
	}
	return configuration.NewClient(etcd.NewStore(s.endpoints, &http.Client{Timeout: storeTimeout})), nil
}

// changer returns the client of a command that changes the configuration.
func (s *storeFlags) changer() (*configuration.Client, error) {
	if s.author == "" {
		return nil, errors.Errorf("no author given: set --author or %s, so that others see who changed the configuration", authorVariable)
	}
	return s.client()
}
