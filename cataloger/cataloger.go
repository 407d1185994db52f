// Package cataloger holds one version of the configuration used to forward requests: routes, services, client accounts and
// the limits of callers' connections. A Catalog is immutable; each version has its own.
package cataloger

import (
	"fmt"
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

// StageError reports a stage that depends on a stage that does not precede it.
type StageError struct {
	Route     string
	Stage     int
	DependsOn int
}

func (e *StageError) Error() string {
	return fmt.Sprintf("route %s: stage %d depends on stage %d, which does not precede it", e.Route, e.Stage, e.DependsOn)
}

// TargetError reports a route without a target service.
type TargetError struct{ Route string }

func (e *TargetError) Error() string { return fmt.Sprintf("route %s has no target service", e.Route) }

// RegionError reports that no region is allowed for a route or a client account, so that none of its requests can be served.
type RegionError struct{ Owner string }

func (e *RegionError) Error() string { return e.Owner + " allows no region" }

func allowsNoRegion(regions []string) bool { return regions != nil && len(regions) == 0 }

// New validates and indexes a configuration. It returns a *TargetError or a *StageError for an invalid route.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{
		version:  cfg.Version,
		limits:   cfg.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(cfg.Services)),
		byKey:    make(map[string]*Account),

		accountCount: len(cfg.Accounts),
		keysOptional: cfg.KeysOptional,
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := validateRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		if allowsNoRegion(r.AllowedRegions) {
			c.faults = append(c.faults, &RegionError{Owner: "route " + r.Name})
		}
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		c.services[s.Name] = s
		if s.Stage != nil {
			c.stages = append(c.stages, s.Name)
		}
	}
	slices.Sort(c.stages)
	c.indexKeys(cfg.Accounts)
	return c, nil
}

func validateRoute(r *Route) error {
	if len(r.Targets) == 0 {
		return &TargetError{Route: r.Name}
	}
	for i, stage := range r.Stages {
		for _, dependency := range stage.DependsOn {
			if dependency < 0 || dependency >= i {
				return &StageError{Route: r.Name, Stage: i, DependsOn: dependency}
			}
		}
	}
	return nil
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

// Faults returns what can't be used in the configuration. Requests that need it are refused.
func (c *Catalog) Faults() []error { return c.faults }

// AccountCount returns the number of client accounts.
func (c *Catalog) AccountCount() int { return c.accountCount }

// KeyCount returns the number of keys of all client accounts.
func (c *Catalog) KeyCount() int { return len(c.byKey) }
