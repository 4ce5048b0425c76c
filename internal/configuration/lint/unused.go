package lint

import "sapphirespread.example/configuration"

// checkUnused warns of objects that no other object refers to.
func (l *linter) checkUnused() {
	for _, w := range l.set.Workspaces {
		if !l.withKey[w.Name] {
			l.warn("workspaces."+w.Name, "no key", "a key: no request belongs to the workspace")
		}
	}
	for _, s := range l.set.Services {
		l.checkUsed(configuration.KindService, "services."+s.Name, s.Name, "a route that leads to it")
	}
	for _, p := range l.set.Priorities {
		l.checkUsed(configuration.KindPriority, "priorities."+p.Name, p.Name, "a route or workspace with it")
	}
	for _, limit := range l.set.Limits {
		l.checkUsed(configuration.KindLimit, "limits."+limit.Name, limit.Name, "a workspace with it")
	}
}

func (l *linter) checkUsed(kind configuration.Kind, fullName, name, expected string) {
	if !l.used[kind][name] {
		l.warn(fullName, "no use", expected)
	}
}
