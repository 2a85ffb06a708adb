package cmd

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// errDamaged reports a data folder that cannot be read completely.
var errDamaged = errors.New("data folder is damaged")

func newDiskVerify() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Check every checksum and record, and print the place of each damage",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := inspectFolder(c, args[0])
			if err != nil {
				return err
			}
			for _, d := range r.Damages {
				printf(c, "%s at byte %d: %s\n", d.Segment, d.Offset, d.Error)
			}
			if len(r.Damages) > 0 {
				return fmt.Errorf("%w in %d places", errDamaged, len(r.Damages))
			}
			printf(c, "%d turns in %d segments are not damaged\n", r.Turns, r.Segments)
			return nil
		},
	}
}
