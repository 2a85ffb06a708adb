package settings

import (
	"strings"
	"time"

	"mimosarelay/core/config"
)

// Platform configures access to the store and the host list.
type Platform struct {
	// Address is IP:port of the store's HTTP API.
	Address string `yaml:"Address"`
	// Prefix is put before every key; "" means "mimosarelay/".
	Prefix string `yaml:"Prefix,omitempty"`
	// Timeout bounds one call; 0 means 1 s.
	Timeout time.Duration `yaml:"Timeout,omitempty"`
	// TokenFile holds the access token of the store, if it requires one.
	TokenFile string `yaml:"TokenFile,omitempty"`
}

const defaultPrefix = "mimosarelay/"

func (p *Platform) complete(folder string, r *config.Report) {
	checkAddress(r, "Platform.Address", p.Address)
	if p.Prefix == "" {
		p.Prefix = defaultPrefix
	}
	if !validPrefix(p.Prefix) {
		r.Addf("Platform.Prefix", `%q is not allowed; it must be names that each end with a slash, such as "mimosarelay/"`, p.Prefix)
	}
	completeDuration(r, "Platform.Timeout", &p.Timeout, time.Second, 10*time.Millisecond, 10*time.Second)
	if p.TokenFile != "" {
		p.TokenFile = resolvePath(folder, p.TokenFile)
		readNonEmptyFile(r, "Platform.TokenFile", p.TokenFile)
	}
}

// validPrefix reports whether a prefix consists of names that each end with a
// slash.
func validPrefix(s string) bool {
	names, ok := strings.CutSuffix(s, "/")
	if !ok {
		return false
	}
	for n := range strings.SplitSeq(names, "/") {
		if config.CheckName(n) != nil {
			return false
		}
	}
	return true
}
