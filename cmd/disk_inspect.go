package cmd

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"
)

func newDiskInspect() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "inspect DIR",
		Short: "Print how many turns a data folder holds, their size and when they lapse",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := inspectFolder(c, args[0])
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(c.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(r)
			}
			printf(c, "disk         %s\nwhole        %v\nsegments     %d\nbytes        %d\nlive bytes   %d\nturns        %d\nworkspaces   %d\n",
				r.Disk, r.Whole, r.Segments, r.Bytes, r.LiveBytes, r.Turns, r.Workspaces)
			if r.Turns > 0 {
				printf(c, "oldest lapse %s\nnewest lapse %s\n", r.OldestLapse.UTC().Format(time.RFC3339), r.NewestLapse.UTC().Format(time.RFC3339))
			}
			printf(c, "damages      %d\n", len(r.Damages))
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
