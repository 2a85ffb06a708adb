package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mimosarelay/app/conversations"
)

func newDisk() *cobra.Command {
	c := &cobra.Command{
		Use:   "disk",
		Short: "Read the turns of conversations on the disk of a keeper",
		Long: "The commands read a data folder that no process uses, and never write to it.\n" +
			"DIR is the data folder of a keeper or its subfolder with the turns.",
	}
	c.AddCommand(newDiskInspect(), newDiskVerify(), newDiskExport())
	return c
}

// turnFolder returns the folder with the turns in a data folder.
func turnFolder(dir string) string {
	if sub := filepath.Join(dir, "turns"); isDir(sub) {
		return sub
	}
	return dir
}

func isDir(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

// progressInterval is the time between two lines about the progress of a command.
const progressInterval = 2 * time.Second

// showProgress returns a function that writes at intervals how many bytes were read.
func showProgress(c *cobra.Command) func(bytes int64) {
	last := time.Now()
	return func(bytes int64) {
		if time.Since(last) >= progressInterval {
			last = time.Now()
			c.PrintErrf("%d MiB read\n", bytes>>20)
		}
	}
}

// inspectFolder reads a folder with turns.
func inspectFolder(c *cobra.Command, dir string) (conversations.Report, error) {
	return conversations.Inspect(turnFolder(dir), showProgress(c))
}

// printf writes to the standard output of a command.
func printf(c *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.OutOrStdout(), format, args...) // a closed pipe ends the process
}
