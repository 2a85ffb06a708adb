package cmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"mimosarelay/core/config"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check and change the configuration",
	}
	o := &operatorClient{}
	o.register(c)
	c.AddCommand(newConfigValidate(), newConfigApply(o), newConfigGet(o), newConfigDiff(o), newConfigHistory(o))
	return c
}

// readDocument reads and validates a configuration file.
func readDocument(file string) (*config.Document, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("failed to read the configuration: %w", err)
	}
	d, err := config.Parse(data, file)
	return d, data, err
}
