package fleet

// followConfig applies the configuration in force to a request that is about to be placed.
// Its deadline, its caller and whether it may be repeated stay those of its arrival.
func (c *Core) followConfig(a *activeRequest) {
	if c.config == nil || c.config == a.arrival.Config {
		return
	}
	if !a.mayHaveRun() && !a.arrivedAtTarget && c.followRoute(a) {
		return
	}
	// The figures describe the engines as they are now.
	service := c.config.Services[a.service]
	if service != nil && (service.Engine != nil) == (c.engineOf(a) != nil) {
		a.arrival.Config = c.config
	}
}

// followRoute applies the present version of its route to a request that no target has
// seen, and moves it if its service is no longer among those of the route. It returns false
// if the route has no version that the request can follow.
func (c *Core) followRoute(a *activeRequest) bool {
	former := a.arrival.Route
	route := c.config.version(former)
	if route == nil || route.Kind != former.Kind || route.Resumable != former.Resumable {
		return false
	}
	if !route.sendsTo(a.service) {
		service := c.pickService(route)
		if service == "" {
			return false
		}
		c.log("request-moved", "request", a.arrival.ID, "route", route.Name, "from", a.service, "to", service)
		a.service = service
	}
	a.arrival.Route, a.arrival.Config = route, c.config
	return true
}

// sendsTo reports whether requests of the route may go to a service.
func (r *Route) sendsTo(service string) bool {
	for _, b := range r.Backends {
		if b.Service == service && b.Weight > 0 {
			return true
		}
	}
	return false
}
