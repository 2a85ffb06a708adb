package cmd

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"mimosarelay/core/config"
)

func newDrain() *cobra.Command {
	var gone string
	o := &operatorClient{}
	c := &cobra.Command{
		Use:   "drain",
		Short: "Shut a host down without interrupting requests, or declare another one gone",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path, message := "/operator/v1/drain", "draining "+o.address
			if c.Flags().Changed("gone") {
				if err := config.CheckName(gone); err != nil {
					return fmt.Errorf("flag --gone: %w", err)
				}
				path, message = "/operator/v1/gone/"+url.PathEscape(gone), "declared gone: "+gone
			}
			if _, err := o.do(c.Context(), http.MethodPost, path, nil); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), message)
			return err
		},
	}
	o.register(c)
	c.Flags().StringVar(&gone, "gone", "", "name of a host that will not come back; removes that host instead of draining this one")
	return c
}
