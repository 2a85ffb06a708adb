// Package cmd holds the commands of the mimosarelay binary, one file each.
package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit code.
func Execute(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "mimosarelay: %v\n", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "mimosarelay",
		Short:         "Scheduler for agent programs",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newConfig(), newKey(), newStatus(), newDump(), newDrain(), newDisk(), newStandin(), newServe(), newDemo(), newVersion())
	return root
}
