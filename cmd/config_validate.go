package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newConfigValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file without connecting to a host",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, _, err := readDocument(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s is valid: %d workspaces, %d targets, %d routes\n",
				args[0], len(d.Workspaces), len(d.Targets), len(d.Routes))
			return err
		},
	}
}
