// Package cataloger holds one version of the configuration used to forward requests: routes, services, client accounts and
// the limits of callers' connections. A Catalog is immutable; each version has its own.
package cataloger

import (
	"net"
	"slices"
	"strings"
)

// Config is the configuration from which a Catalog is built.
type Config struct {
	// Version increases from one configuration to the next.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
	// KeysOptional lets requests without a known key be served. It must be set only for a configuration that is meant to have
	// no client accounts: one whose accounts have no keys left must refuse everybody.
	KeysOptional bool
	// Faults are the parts of the configuration that could not be decoded.
	Faults []error
}

// Catalog looks up the routes, services and client accounts of a configuration.
type Catalog struct {
	version  int64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	// stages holds the sorted names of the stage services.
	stages []string
	byKey  map[string]*Account
	// accountCount is the number of client accounts, with or without keys.
	accountCount int
	keysOptional bool
	faults       []error
}

// RegionError reports that no region is allowed for a route or a client account, so that none of its requests can be served.
type RegionError struct{ Owner string }

func (e *RegionError) Error() string { return e.Owner + " allows no region" }

func allowsNoRegion(regions []string) bool { return regions != nil && len(regions) == 0 }

// New indexes a configuration. What can't be used doesn't keep the rest from coming into force, which may revoke keys: it is
// left out or refuses its requests, and Faults returns it.
func New(cfg Config) *Catalog {
	c := &Catalog{
		version:  cfg.Version,
		limits:   cfg.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(cfg.Services)),
		byKey:    make(map[string]*Account),
		faults:   cfg.Faults,

		accountCount: len(cfg.Accounts),
		keysOptional: cfg.KeysOptional,
	}
	if err := c.limits.applyDefaults(); err != nil {
		c.faults = append(c.faults, err)
	}
	c.indexRoutes(cfg.Routes)
	for i := range cfg.Services {
		s := &cfg.Services[i]
		c.services[s.Name] = s
		if s.Stage != nil {
			c.stages = append(c.stages, s.Name)
		}
	}
	slices.Sort(c.stages)
	c.indexKeys(cfg.Accounts)
	return c
}

// Version returns the version of the configuration.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits of callers' connections.
func (c *Catalog) Limits() Limits { return c.limits }

// AllowedRegions returns the sorted regions listed by a host's routes. It returns none if no route of the host is restricted.
func (c *Catalog) AllowedRegions(host string) []string {
	var regions []string
	for _, r := range c.byHost[strings.ToLower(host)] {
		regions = append(regions, r.AllowedRegions...)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Match returns the host's route with the longest prefix that matches the path. A port in host is ignored.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, known := c.services[name]
	return s, known
}

// Services returns all services by name. The map must not be modified.
func (c *Catalog) Services() map[string]*Service { return c.services }

// StageServices returns the sorted names of the stage services. The slice must not be modified.
func (c *Catalog) StageServices() []string { return c.stages }

// Account returns the client account that owns a key.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, known := c.byKey[key]
	return a, known
}

// RequiresKeys reports whether requests must carry a key, except on anonymous routes.
func (c *Catalog) RequiresKeys() bool { return !c.keysOptional }

// Faults returns what is missing or can't be used in the configuration. Requests that need it are refused.
func (c *Catalog) Faults() []error { return c.faults }

// AccountCount returns the number of client accounts.
func (c *Catalog) AccountCount() int { return c.accountCount }

// KeyCount returns the number of keys of all client accounts.
func (c *Catalog) KeyCount() int { return len(c.byKey) }
