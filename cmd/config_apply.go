package cmd

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"mimosarelay/core/model"
	"mimosarelay/io/operator"
)

func newConfigApply(o *operatorClient) *cobra.Command {
	var base uint64
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a configuration file into effect",
		Long: "Checks the file, sends it and waits until all hosts have confirmed it.\n" +
			"The change is based on the Revision in the file, or on --base if the file has none.\n" +
			"It is rejected as a conflict if that is not the current revision.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, data, err := readDocument(args[0])
			if err != nil {
				return err
			}
			baseRev, err := baseRevision(d.Revision, model.Revision(base), c.Flags().Changed("base"))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			var e operator.Effect
			path := fmt.Sprintf("/operator/v1/config?base=%d&wait=true", baseRev)
			if err := o.call(c.Context(), http.MethodPut, path, data, &e); err != nil {
				return err
			}
			return reportEffect(c, e)
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "revision that the file was edited from; 0 for the first configuration")
	return c
}

// baseRevision returns the revision that a file was edited from: the one in the
// file, or the one of the flag --base if flagSet.
func baseRevision(file, flag model.Revision, flagSet bool) (model.Revision, error) {
	switch {
	case flagSet && file != 0 && file != flag:
		return 0, fmt.Errorf("the file was edited from revision %d, but --base is %d", file, flag)
	case flagSet:
		return flag, nil
	case file != 0:
		return file, nil
	}
	return 0, fmt.Errorf("the file has no Revision; name the revision that it was edited from with --base (0 for the first configuration)")
}
