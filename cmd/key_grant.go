package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"mimosarelay/core/model"
	"mimosarelay/io/operator"
)

func newKeyGrant(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "grant WORKSPACE KEY-ID",
		Short: "Create a key and print it; it is shown only once",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := json.Marshal(operator.GrantRequest{Workspace: model.WorkspaceID(args[0]), ID: model.KeyID(args[1])})
			if err != nil {
				return err
			}
			var g operator.GrantResponse
			if err := o.call(c.Context(), http.MethodPost, "/operator/v1/keys?wait=true", body, &g); err != nil {
				return err
			}
			// Print the key first: it is shown only once and would be lost if
			// reportEffect fails because a host has not confirmed the change.
			if _, err := fmt.Fprintln(c.OutOrStdout(), g.Secret); err != nil {
				return err
			}
			return reportEffect(c, g.Effect)
		},
	}
}
