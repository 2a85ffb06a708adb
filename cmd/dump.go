package cmd

import "github.com/spf13/cobra"

func newDump() *cobra.Command {
	o := &operatorClient{}
	c := &cobra.Command{
		Use:   "dump",
		Short: "Print the whole state of a host",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.show(c, "/operator/v1/dump")
		},
	}
	o.register(c)
	return c
}
