package cmd

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"mimosarelay/io/operator"
)

func newConfigHistory(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "history [REVISION]",
		Short: "List the kept revisions, or print one",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return listHistory(c, o)
			}
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return fmt.Errorf("%q is not a revision; it must be a number such as 12", args[0])
			}
			return printDocument(c, o, "/operator/v1/config/history/"+args[0])
		},
	}
}

// listHistory prints the kept revisions and their times.
func listHistory(c *cobra.Command, o *operatorClient) error {
	var h operator.HistoryResponse
	if err := o.call(c.Context(), http.MethodGet, "/operator/v1/config/history", nil, &h); err != nil {
		return err
	}
	for _, e := range h.Revisions {
		at := "time unknown"
		if !e.At.IsZero() {
			at = e.At.Format(time.RFC3339)
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%d\t%s\n", e.Revision, at); err != nil {
			return err
		}
	}
	return nil
}
