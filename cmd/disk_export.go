package cmd

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"mimosarelay/app/conversations"
	"mimosarelay/core/model"
)

func newDiskExport() *cobra.Command {
	var asJSON bool
	var workspace string
	c := &cobra.Command{
		Use:   "export DIR ID",
		Short: "Print the conversation up to a turn",
		Long: "Prints the input of each turn followed by its output, as targets get it. With\n" +
			"--json, prints one object for each turn, with Input and Output in base64.",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			turns, err := conversations.Export(turnFolder(args[0]), model.WorkspaceID(workspace), model.RequestID(args[1]))
			if err != nil {
				return err
			}
			if !asJSON {
				return conversations.WriteText(c.OutOrStdout(), turns)
			}
			encoder := json.NewEncoder(c.OutOrStdout())
			for _, t := range turns {
				if err := encoder.Encode(t); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&workspace, "workspace", "", "workspace of the turn, if several have one with this id")
	return c
}
