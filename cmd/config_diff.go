package cmd

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"mimosarelay/io/operator"
)

func newConfigDiff(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Print what a configuration file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, data, err := readDocument(args[0])
			if err != nil {
				return err
			}
			var v operator.Validation
			if err := o.call(c.Context(), http.MethodPost, "/operator/v1/config/validate", data, &v); err != nil {
				return err
			}
			out := c.OutOrStdout()
			if len(v.Changes) == 0 {
				_, err := fmt.Fprintf(out, "no difference from revision %d\n", v.Revision)
				return err
			}
			for _, change := range v.Changes {
				if _, err := fmt.Fprintln(out, change); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
