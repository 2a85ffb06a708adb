package cmd

import (
	"net/http"

	"github.com/spf13/cobra"
)

func newConfigGet(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the configuration in effect",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printDocument(c, o, "/operator/v1/config")
		},
	}
}

// printDocument prints the configuration that a path returns.
func printDocument(c *cobra.Command, o *operatorClient, path string) error {
	data, err := o.do(c.Context(), http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	_, err = c.OutOrStdout().Write(data)
	return err
}
