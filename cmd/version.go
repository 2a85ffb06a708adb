package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is set by the linker: -ldflags "-X mimosarelay/cmd.version=v1.2.3".
var version = "devel"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "mimosarelay %s %s\n", version, goVersion)
			return err
		},
	}
}
