package cmd

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"mimosarelay/io/operator"
)

func newKeyWithdraw(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Withdraw a key and wait until it stops working on all hosts",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var e operator.Effect
			path := "/operator/v1/keys/" + url.PathEscape(args[0]) + "?wait=true"
			if err := o.call(c.Context(), http.MethodDelete, path, nil, &e); err != nil {
				return err
			}
			return reportEffect(c, e)
		},
	}
}
