package configuration

import (
	"fmt"
	"slices"
)

// Edit is a small change to the configuration in force.
type Edit struct {
	// Drain and Undrain name targets or entry instances.
	Drain   []string `json:"drain,omitempty"`
	Undrain []string `json:"undrain,omitempty"`
	// Limits sets the token rate limits of workspaces.
	Limits []WorkspaceLimit `json:"limits,omitempty"`
	// Reassert writes the configuration in force again, without other changes.
	Reassert bool `json:"reassert,omitempty"`
}

// WorkspaceLimit is the new token rate limit of one workspace.
type WorkspaceLimit struct {
	Workspace       string  `json:"workspace"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Apply returns the intent with the edit applied. in must be valid and is not
// modified. isInstance reports whether a name is that of an entry instance. The
// error is of type Faults and lists everything wrong with the edit.
func (e *Edit) Apply(in Intent, isInstance func(string) bool) (Intent, error) {
	var faults Faults
	targets := in.targetsByName()
	in.Drains.Targets = slices.Clone(in.Drains.Targets)
	in.Drains.Instances = slices.Clone(in.Drains.Instances)
	for i, name := range e.Drain {
		switch _, isTarget := targets[name]; {
		case isTarget:
			in.Drains.Targets = addName(in.Drains.Targets, name)
		case isInstance(name):
			in.Drains.Instances = addName(in.Drains.Instances, name)
		default:
			faults.add(fmt.Sprintf("drain[%d]", i), "there is no target or instance %q", name)
		}
	}
	for i, name := range e.Undrain {
		targetsLeft, instancesLeft := removeName(in.Drains.Targets, name), removeName(in.Drains.Instances, name)
		if len(targetsLeft) == len(in.Drains.Targets) && len(instancesLeft) == len(in.Drains.Instances) {
			faults.add(fmt.Sprintf("undrain[%d]", i), "%q is not drained", name)
		}
		in.Drains.Targets, in.Drains.Instances = targetsLeft, instancesLeft
	}
	in.Workspaces = slices.Clone(in.Workspaces)
	for i, l := range e.Limits {
		index := slices.IndexFunc(in.Workspaces, func(w Workspace) bool { return w.Name == l.Workspace })
		if index < 0 {
			faults.add(fmt.Sprintf("limits[%d].workspace", i), "there is no workspace %q", l.Workspace)
			continue
		}
		if l.TokensPerSecond < 0 {
			faults.add(fmt.Sprintf("limits[%d].tokens_per_second", i), "must not be negative")
		}
		in.Workspaces[index].TokensPerSecond = l.TokensPerSecond
	}
	if len(faults) > 0 {
		return in, faults
	}
	return in, nil
}

func addName(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func removeName(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}
