package examples_test

import (
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/settings"
)

// deployments lists the example folders with their failure domains and the allowed number of targets for each service.
var deployments = []struct {
	folder                 string
	domains                []string
	minTargets, maxTargets int
}{
	{"banevakt", []string{"drammen", "hamar", "oslo"}, 3, 5},
	{"kite-association", []string{"agadir", "el-jadida", "essaouira", "safi"}, 4, 6},
}

// The objects of each example load without errors and include open, repeatable and non-repeatable routes.
func TestObjectsAreComplete(t *testing.T) {
	for _, d := range deployments {
		set, err := configuration.Load(os.DirFS(d.folder), "objects")
		if err != nil {
			t.Errorf("%s:\n%v", d.folder, err)
		}
		if len(set.Workspaces) != 8 || len(set.Services) != 4 {
			t.Errorf("%s: %d workspaces, %d services", d.folder, len(set.Workspaces), len(set.Services))
		}
		routeKinds := map[[2]bool]bool{}
		for _, r := range set.Routes {
			routeKinds[[2]bool{r.Open, r.Repeatable}] = true
		}
		if len(routeKinds) != 3 {
			t.Errorf("%s: the routes don't include open, repeatable and non-repeatable routes", d.folder)
		}
	}
}

// The settings files of each example load without errors, cover its failure domains and number of
// targets, and use each listen address only once.
func TestSettingsAreComplete(t *testing.T) {
	for _, d := range deployments {
		used := map[netip.AddrPort]string{}
		use := func(name string, addresses ...netip.AddrPort) {
			for _, address := range addresses {
				if other := used[address]; other != "" {
					t.Errorf("%s: %s and %s use %s", d.folder, name, other, address)
				}
				used[address] = name
			}
		}
		var domains []string
		targets := map[string]int{}
		for _, path := range globFiles(t, d.folder, "daemons/*.toml") {
			s, err := settings.LoadDaemon(path)
			if err != nil {
				t.Error(err)
			}
			use(s.Name, s.CallersListen, s.PeerListen, s.SubcallsListen, s.OperatorsListen)
			domains = append(domains, s.FailureDomain)
			targets[s.Name[:len(s.Name)-2]]++
		}
		for _, path := range globFiles(t, d.folder, "control-*.toml") {
			s, err := settings.LoadControl(path)
			if err != nil {
				t.Error(err)
			}
			use(s.Name, s.PeerListen, s.OperatorsListen)
		}
		slices.Sort(domains)
		if got := slices.Compact(domains); !slices.Equal(got, d.domains) {
			t.Errorf("%s: failure domains %v", d.folder, got)
		}
		for service, count := range targets {
			if count < d.minTargets || count > d.maxTargets || len(targets) != 4 {
				t.Errorf("%s: %d targets of %s, %d services", d.folder, count, service, len(targets))
			}
		}
	}
}

// globFiles returns the paths of the files in folder that match pattern, and fails the test if there are none.
func globFiles(t *testing.T, folder, pattern string) []string {
	t.Helper()
	paths, err := fs.Glob(os.DirFS(folder), pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s/%s: no files: %v", folder, pattern, err)
	}
	for i, name := range paths {
		paths[i] = filepath.Join(folder, name)
	}
	return paths
}
