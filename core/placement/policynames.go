package placement

import "fmt"

// PolicyNames names the policies of a Scheduler. Empty names mean the defaults.
type PolicyNames struct {
	// Order is FirstCome or FairShare; by default FairShare.
	Order string `yaml:"Order,omitempty"`
	// Choice is RoundRobin or CacheAware; by default CacheAware.
	Choice string `yaml:"Choice,omitempty"`
	// Retention is NoRetention or HoldThroughPause; by default
	// HoldThroughPause.
	Retention string `yaml:"Retention,omitempty"`
}

// Options returns the named policies with their default values. The error for
// an unknown name lists the allowed names.
func (n PolicyNames) Options() (Options, error) {
	var o Options
	var err error
	if o.Order, err = pick[Order]("Order", n.Order, FairShare{}, FirstCome{}); err != nil {
		return Options{}, err
	}
	if o.Choice, err = pick[Choice]("Choice", n.Choice, CacheAware{}, RoundRobin{}); err != nil {
		return Options{}, err
	}
	if o.Retention, err = pick[Retention]("Retention", n.Retention, HoldThroughPause{}, NoRetention{}); err != nil {
		return Options{}, err
	}
	return o.withDefaults(), nil
}

// pick returns the policy whose type has the given name, or standard if the name
// is empty.
func pick[P any](field, name string, standard, baseline P) (P, error) {
	switch name {
	case "", typeName(standard):
		return standard, nil
	case typeName(baseline):
		return baseline, nil
	}
	var none P
	return none, fmt.Errorf("%s %q is not known; allowed are %s and %s", field, name, typeName(standard), typeName(baseline))
}

// typeName returns the name of the type of v, a type of this package.
func typeName(v any) string {
	return fmt.Sprintf("%T", v)[len("placement."):]
}
