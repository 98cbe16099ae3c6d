package command

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	settingsEnv = "MLCTL_SETTINGS"
	storeEnv    = "MLCTL_STORE"
	authorEnv   = "MLCTL_AUTHOR"
)

// fileSettings is the settings file of mlctl. A flag overrides the environment
// variable, which overrides the file.
type fileSettings struct {
	// Store lists the base URLs of the key-value service.
	Store []string `json:"store,omitempty"`
	// Processes lists the operators' addresses of processes; HostList is the URL of
	// the host list.
	Processes []string `json:"processes,omitempty"`
	HostList  string   `json:"hostList,omitempty"`
	Token     string   `json:"token,omitempty"`
	Author    string   `json:"author,omitempty"`
}

// addSettingsFile adds the flag --settings to all commands. The named file
// supplies the values of flags that are set neither on the command line nor in the
// environment.
func addSettingsFile(root *cobra.Command) {
	path := root.PersistentFlags().String("settings", os.Getenv(settingsEnv),
		"JSON file with store, processes, hostList, token and author (or "+settingsEnv+")")
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		if *path == "" {
			return nil
		}
		return applySettings(cmd, *path)
	}
}

func applySettings(cmd *cobra.Command, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	var s fileSettings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	for _, setting := range []struct{ flag, variable, value string }{
		{"store", storeEnv, strings.Join(s.Store, ",")},
		{"process", processesEnv, strings.Join(s.Processes, ",")},
		{"host-list", hostListEnv, s.HostList},
		{"token", tokenEnv, s.Token},
		{"author", authorEnv, s.Author},
	} {
		flag := cmd.Flags().Lookup(setting.flag)
		if flag == nil || flag.Changed || os.Getenv(setting.variable) != "" || setting.value == "" {
			continue
		}
		if err := flag.Value.Set(setting.value); err != nil {
			return errors.Wrapf(err, "settings %s: %s", path, setting.flag)
		}
	}
	return nil
}
