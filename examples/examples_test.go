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

// deployments are the folders with their failure domains, and the range of targets a service.
var deployments = []struct {
	folder                    string
	domains                   []string
	leastTargets, mostTargets int
}{
	{"banevakt", []string{"drammen", "hamar", "oslo"}, 3, 5},
	{"kite-association", []string{"agadir", "el-jadida", "essaouira", "safi"}, 4, 6},
}

func TestObjectsAreWhole(t *testing.T) {
	for _, d := range deployments {
		set, err := configuration.Load(os.DirFS(d.folder), "objects")
		if err != nil {
			t.Errorf("%s:\n%v", d.folder, err)
		}
		if len(set.Workspaces) != 8 || len(set.Services) != 4 {
			t.Errorf("%s: %d workspaces, %d services", d.folder, len(set.Workspaces), len(set.Services))
		}
		kinds := map[[2]bool]bool{}
		for _, r := range set.Routes {
			kinds[[2]bool{r.Open, r.Repeatable}] = true
		}
		if len(kinds) != 3 {
			t.Errorf("%s: the routes don't show open, repeatable and not repeatable", d.folder)
		}
	}
}

func TestSettingsAreWhole(t *testing.T) {
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
		for _, path := range files(t, d.folder, "daemons/*.toml") {
			s, err := settings.LoadDaemon(path)
			if err != nil {
				t.Error(err)
			}
			use(s.Name, s.CallersListen, s.PeerListen, s.SubcallsListen, s.OperatorsListen)
			domains = append(domains, s.FailureDomain)
			targets[s.Name[:len(s.Name)-2]]++
		}
		for _, path := range files(t, d.folder, "control-*.toml") {
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
			if count < d.leastTargets || count > d.mostTargets || len(targets) != 4 {
				t.Errorf("%s: %d targets of %s, %d services", d.folder, count, service, len(targets))
			}
		}
	}
}

func files(t *testing.T, folder, pattern string) []string {
	t.Helper()
	found, err := fs.Glob(os.DirFS(folder), pattern)
	if err != nil || len(found) == 0 {
		t.Fatalf("%s/%s: no files: %v", folder, pattern, err)
	}
	for i, name := range found {
		found[i] = filepath.Join(folder, name)
	}
	return found
}
