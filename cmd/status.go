package cmd

import "github.com/spf13/cobra"

func newStatus() *cobra.Command {
	o := &operatorClient{}
	c := &cobra.Command{
		Use:   "status",
		Short: "Print a summary of the state of a host",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.show(c, "/operator/v1/status")
		},
	}
	o.register(c)
	return c
}
