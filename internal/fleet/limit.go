package fleet

// recordLimit records what the answer to the current attempt says of its target's
// limit.
func (c *Core) recordLimit(a *activeRequest, limit Limit) {
	if limit.Statement == LimitUnknown || limit == a.target.limit {
		return
	}
	former := a.target.limit
	a.target.limit = limit
	if limit.Statement == LimitNone && former.Statement != LimitNamed {
		return
	}
	c.log("target-limit", "target", a.target.ID, "per_second", limit.PerSecond, "named", limit.Statement == LimitNamed,
		"former", former.PerSecond)
	c.incrementCounter("target_limits", a.target.Service)
}
