package cmd

import "github.com/spf13/cobra"

func newKey() *cobra.Command {
	c := &cobra.Command{
		Use:   "key",
		Short: "Grant and withdraw keys of workspaces",
	}
	o := &operatorClient{}
	o.register(c)
	c.AddCommand(newKeyGrant(o), newKeyWithdraw(o))
	return c
}
