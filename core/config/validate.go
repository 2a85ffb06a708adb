package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"mimosarelay/core/model"
)

// Limits on the numbers of a document. They prevent 64-bit integers from
// overflowing when values are converted to the units of shares (2^-30) or to
// micro-tokens.
const (
	maxRate        = 1e6 // requests per second
	maxBurst       = 1e6 // requests
	maxWeight      = 1e6
	maxInFlight    = 1_000_000            // calls
	maxTokens      = model.Tokens(1e12)   // tokens of one program
	maxLifetime    = 366 * 24 * time.Hour // of one program
	maxTimeout     = time.Hour            // of one call
	minRate        = 1e-6                 // one request in 11 days
	allowedMethods = "GET HEAD POST PUT PATCH DELETE OPTIONS"
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

const (
	nameRule  = "1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or digit"
	modelRule = "1 to 128 letters, digits or characters of ._:/-, starting with a letter or digit"
)

// CheckAddress returns an error unless the text is IP:port with a port above 0.
func CheckAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not IP:port; allowed is an address such as 10.0.0.1:8000 or [fd00::1]:8000", s)
	}
	return nil
}

// CheckName returns an error unless the text is a valid name of a workspace,
// key, target, route, zone or host.
func CheckName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%q is not a name; allowed are %s", s, nameRule)
	}
	return nil
}

// references holds the names that other sections of the document may refer to.
// A map is nil if the section that defines its names has faults: references are
// not checked then, because a name may be missing only due to these faults.
type references struct {
	targetKinds map[model.TargetID]TargetKind
	models      map[model.ModelID]bool
	routes      map[model.RouteID]bool
}

func (d *Document) addTargetReferences(f *references) {
	f.targetKinds = map[model.TargetID]TargetKind{}
	f.models = map[model.ModelID]bool{}
	for _, t := range d.Targets {
		f.targetKinds[t.Name] = t.Kind
		for _, m := range t.Models {
			f.models[m] = true
		}
	}
}

func (d *Document) addRouteReferences(f *references) {
	f.routes = map[model.RouteID]bool{}
	for _, t := range d.Routes {
		f.routes[t.Name] = true
	}
}

func (d *Document) validate(r *Report) {
	f := &references{}
	d.validateTargets(r)
	if !r.HasFault("Targets") {
		d.addTargetReferences(f)
	}
	d.validateRoutes(r, f)
	if !r.HasFault("Routes") {
		d.addRouteReferences(f)
	}
	keys := map[string]string{}
	names := map[string]string{}
	for i := range d.Workspaces {
		p := fmt.Sprintf("Workspaces[%d]", i)
		w := &d.Workspaces[i]
		checkName(r, p+".Name", string(w.Name), names)
		w.validateLimits(r, p)
		w.validateKeys(r, p, keys)
		w.validateGrants(r, p, f)
	}
}

// validateLimits checks the rate, burst, weight and budget of a workspace.
func (w *Workspace) validateLimits(r *Report, path string) {
	if !inRange(w.Rate, minRate, maxRate) {
		r.Addf(path+".Rate", "%v is not allowed; it must be from %v to %v requests per second", w.Rate, minRate, maxRate)
	}
	if !inRange(w.Burst, 1, maxBurst) {
		r.Addf(path+".Burst", "%v is not allowed; it must be from 1 to %v requests", w.Burst, maxBurst)
	}
	if !inRange(w.Weight, 0, maxWeight) {
		r.Addf(path+".Weight", "%v is not allowed; it must be from 0 (which means 1) to %v", w.Weight, maxWeight)
	}
	b := w.Budget
	if b.Tokens < 1 || b.Tokens > maxTokens {
		r.Addf(path+".Budget.Tokens", "%d is not allowed; it must be from 1 to %d tokens", b.Tokens, maxTokens)
	}
	if b.Calls < 1 {
		r.Addf(path+".Budget.Calls", "0 is not allowed; it must be at least 1 call")
	}
	if b.Lifetime < time.Second || b.Lifetime > maxLifetime {
		r.Addf(path+".Budget.Lifetime", "%v is not allowed; it must be from 1s to %v", b.Lifetime, maxLifetime)
	}
}

// validateKeys checks the keys of a workspace. Key ids must be unique across all
// workspaces because the text of a key contains the id, but not the workspace.
func (w *Workspace) validateKeys(r *Report, path string, seen map[string]string) {
	for i, k := range w.Keys {
		p := fmt.Sprintf("%s.Keys[%d]", path, i)
		checkName(r, p+".ID", string(k.ID), seen)
		if _, err := parseHash(k.Hash); err != nil {
			r.Addf(p+".Hash", "%v", err)
		}
	}
}

// validateGrants checks that the models and routes which a workspace may use
// exist.
func (w *Workspace) validateGrants(r *Report, path string, f *references) {
	// An empty list would grant everything, so that removing the last entry would
	// have the opposite effect.
	if w.Models != nil && len(w.Models) == 0 {
		r.Addf(path+".Models", "an empty list is not allowed; omit the field to allow all models")
	}
	if w.Routes != nil && len(w.Routes) == 0 {
		r.Addf(path+".Routes", "an empty list is not allowed; omit the field to allow all routes")
	}
	models := map[string]string{}
	for i, m := range w.Models {
		p := fmt.Sprintf("%s.Models[%d]", path, i)
		checkModel(r, p, m, models)
		if f.models != nil && !f.models[m] {
			r.Addf(p, "no engine among the targets serves model %q", m)
		}
	}
	routes := map[string]string{}
	for i, id := range w.Routes {
		p := fmt.Sprintf("%s.Routes[%d]", path, i)
		checkName(r, p, string(id), routes)
		if f.routes != nil && !f.routes[id] {
			r.Addf(p, "route %q does not exist", id)
		}
	}
}

func (d *Document) validateTargets(r *Report) {
	names := map[string]string{}
	addresses := map[string]string{}
	for i := range d.Targets {
		p := fmt.Sprintf("Targets[%d]", i)
		t := &d.Targets[i]
		checkName(r, p+".Name", string(t.Name), names)
		if err := CheckName(string(t.Zone)); err != nil {
			r.Addf(p+".Zone", "%v", err)
		}
		t.validateAddress(r, p+".Address", addresses)
		t.validateKind(r, p)
		if t.MaxInFlight < 1 || t.MaxInFlight > maxInFlight {
			r.Addf(p+".MaxInFlight", "%d is not allowed; it must be from 1 to %d calls", t.MaxInFlight, maxInFlight)
		}
	}
}

// validateAddress checks the address of a target. Two targets must not share an
// address, because the server would then get the MaxInFlight calls of both.
func (t *Target) validateAddress(r *Report, field string, seen map[string]string) {
	if err := CheckAddress(t.Address); err != nil {
		r.Addf(field, "%v", err)
		return
	}
	a := netip.MustParseAddrPort(t.Address)
	if a.Addr().IsUnspecified() {
		r.Addf(field, "%q is not the address of a machine", t.Address)
		return
	}
	checkUnique(r, field, a.String(), seen)
}

func (t *Target) validateKind(r *Report, path string) {
	switch t.Kind {
	case Engine:
		if len(t.Models) == 0 {
			r.Addf(path+".Models", "an engine must serve at least one model")
		}
	case Service:
		if len(t.Models) > 0 {
			r.Addf(path+".Models", "only targets of kind Engine serve models")
		}
		if t.ChecksFencing {
			r.Addf(path+".ChecksFencing", "only targets of kind Engine get orders with fencing tokens")
		}
	default:
		r.Addf(path+".Kind", "%q is not allowed; it must be %s or %s", t.Kind, Engine, Service)
	}
	seen := map[string]string{}
	for i, m := range t.Models {
		checkModel(r, fmt.Sprintf("%s.Models[%d]", path, i), m, seen)
	}
}

func (d *Document) validateRoutes(r *Report, f *references) {
	names := map[string]string{}
	for i := range d.Routes {
		p := fmt.Sprintf("Routes[%d]", i)
		t := &d.Routes[i]
		checkName(r, p+".Name", string(t.Name), names)
		t.validateTargets(r, p, f)
		methods := map[string]string{}
		for j, m := range t.Methods {
			field := fmt.Sprintf("%s.Methods[%d]", p, j)
			if !slices.Contains(strings.Fields(allowedMethods), m) {
				r.Addf(field, "%q is not allowed; it must be one of %s", m, allowedMethods)
			}
			checkUnique(r, field, m, methods)
		}
		if t.Timeout < 0 || t.Timeout > maxTimeout {
			r.Addf(p+".Timeout", "%v is not allowed; it must be from 0s (which means %v) to %v", t.Timeout, DefaultRouteTimeout, maxTimeout)
		}
	}
}

func (t *Route) validateTargets(r *Report, path string, f *references) {
	if len(t.Targets) == 0 {
		r.Addf(path+".Targets", "a route needs at least one target of kind Service")
	}
	seen := map[string]string{}
	for i, id := range t.Targets {
		p := fmt.Sprintf("%s.Targets[%d]", path, i)
		checkUnique(r, p, string(id), seen)
		if f.targetKinds == nil {
			continue
		}
		kind, ok := f.targetKinds[id]
		switch {
		case !ok:
			r.Addf(p, "target %q does not exist", id)
		case kind != Service:
			r.Addf(p, "target %q is of kind %s; a route needs targets of kind Service", id, kind)
		}
	}
}

func inRange(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}

// checkName checks that a name is valid and not yet in seen, and adds it.
func checkName(r *Report, field, name string, seen map[string]string) {
	if err := CheckName(name); err != nil {
		r.Addf(field, "%v", err)
		return
	}
	checkUnique(r, field, name, seen)
}

func checkModel(r *Report, field string, m model.ModelID, seen map[string]string) {
	if !modelPattern.MatchString(string(m)) {
		r.Addf(field, "%q is not a model; allowed are %s", m, modelRule)
		return
	}
	checkUnique(r, field, string(m), seen)
}

// checkUnique records a fault if an earlier field has the same value. seen maps
// each value to the first field that has it.
func checkUnique(r *Report, field, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		r.Addf(field, "%q is already used by %s in line %d; it must be unique", value, first, r.lineOf(first))
		return
	}
	seen[value] = field
}
