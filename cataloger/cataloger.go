// Package cataloger holds one version of the configuration that requests are forwarded by: routes, services,
// client accounts and the limits of callers' connections. A Catalog never changes; a newer version is another one.
package cataloger

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// Config is the content of a Catalog.
type Config struct {
	// Version only grows from one configuration to the next.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Catalog answers what holds for a request.
type Catalog struct {
	version  int64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	// stages are the names of the stages' services in their order.
	stages []string
	byKey  map[string]*Account
}

// StageError tells of a stage that takes results of a stage that does not come before it.
type StageError struct {
	Route     string
	Stage     int
	DependsOn int
}

func (e *StageError) Error() string {
	return fmt.Sprintf("route %s: stage %d takes results of stage %d, which is not before it", e.Route, e.Stage, e.DependsOn)
}

// TargetError tells of a route without a service.
type TargetError struct{ Route string }

func (e *TargetError) Error() string { return fmt.Sprintf("route %s names no service", e.Route) }

// New checks and indexes a configuration.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{
		version:  cfg.Version,
		limits:   cfg.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(cfg.Services)),
		byKey:    make(map[string]*Account),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := checkRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		c.services[s.Name] = s
		if s.Stage != nil {
			c.stages = append(c.stages, s.Name)
		}
	}
	slices.Sort(c.stages)
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			c.byKey[key] = &cfg.Accounts[i]
		}
	}
	return c, nil
}

func checkRoute(r *Route) error {
	if len(r.Targets) == 0 {
		return &TargetError{Route: r.Name}
	}
	for i, s := range r.Stages {
		for _, after := range s.DependsOn {
			if after < 0 || after >= i {
				return &StageError{Route: r.Name, Stage: i, DependsOn: after}
			}
		}
	}
	return nil
}

// Version is the configuration's number.
func (c *Catalog) Version() int64 { return c.version }

// Limits are the bounds of callers' connections.
func (c *Catalog) Limits() Limits { return c.limits }

// AllowedRegions gives the regions that a host's routes may be served in, in the order of their names; none where all of them may be
// in any.
func (c *Catalog) AllowedRegions(host string) []string {
	var homes []string
	for _, r := range c.byHost[strings.ToLower(host)] {
		homes = append(homes, r.AllowedRegions...)
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}

// Match gives the route of the host whose prefix is the longest that begins the path.
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

// Service gives a service by its name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, known := c.services[name]
	return s, known
}

// Services gives all services by name. The map must not be changed.
func (c *Catalog) Services() map[string]*Service { return c.services }

// StageServices lists the names of the services that stages use, in their order. The list must not be changed.
func (c *Catalog) StageServices() []string { return c.stages }

// Account gives the client account that holds a key.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, known := c.byKey[key]
	return a, known
}

// RequiresKeys tells whether requests must carry a key, except on anonymous routes.
func (c *Catalog) RequiresKeys() bool { return len(c.byKey) > 0 }
