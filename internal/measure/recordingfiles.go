package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/trace"
)

const (
	recordedFolder = "testdata/recorded"
	filePermission = 0o644
	folderMode     = 0o755
)

// Write writes a trace of each decision package under folder, where the tests of the packages replay them
// if it is the root of the repository. Limits that no workspace reaches, and quarantine without a crash, are
// left out.
func (r *Recording) Write(folder string, s Scenario, d deployment.Deployment, seed uint64, times Times) error {
	title := fmt.Sprintf("# %s, %s, seed %d: %s before, %s of trigger, %s after.", d.Name, s.Name, seed, times.Before, times.Trigger, times.After)
	plan := s.Plan(d, seed, times)
	for _, file := range []struct {
		part string
		text func(Scenario, deployment.Deployment, load.Plan) (string, error)
	}{
		{"priority", r.admissionText},
		{"target", r.targetText},
		{"limit", r.limitText},
		{"retry", r.budgetText},
		{"quarantine", r.quarantineText},
	} {
		text, err := file.text(s, d, plan)
		if err != nil {
			return errorx.Decorate(err, "record %s", file.part)
		}
		if text == "" {
			continue
		}
		path := filepath.Join(folder, file.part, recordedFolder, d.Name+"-"+s.Name)
		if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
			return errorx.Decorate(err, "create a folder for a recorded trace")
		}
		if err := os.WriteFile(path, []byte(title+"\n"+text), filePermission); err != nil {
			return errorx.Decorate(err, "write a recorded trace")
		}
	}
	return nil
}

// directive returns one directive of datadriven.
func directive(line, inputs, outcomes string) string {
	return line + "\n" + inputs + "----\n" + outcomes
}

func (r *Recording) admissionText(Scenario, deployment.Deployment, load.Plan) (string, error) {
	name := r.pressed()
	steps := r.recorders[name].AdmissionSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) targetText(s Scenario, d deployment.Deployment, _ load.Plan) (string, error) {
	name := r.choosing()
	steps := r.recorders[name].TargetSteps()
	inputs, err := trace.Inputs(steps)
	line := fmt.Sprintf("replay daemon=%s failure-domain=%s", name, r.domains[name])
	if s.victim != nil {
		line += fmt.Sprintf(" killed=%s at=%s", s.victim(d), r.trigger)
	}
	return directive(line, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) budgetText(Scenario, deployment.Deployment, load.Plan) (string, error) {
	name := r.retrying()
	steps := r.recorders[name].BudgetSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) quarantineText(s Scenario, _ deployment.Deployment, _ load.Plan) (string, error) {
	if s.victim == nil && s.crashing == nil {
		return "", nil
	}
	name := r.crashed()
	steps := r.recorders[name].QuarantineSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) limitText(s Scenario, _ deployment.Deployment, plan load.Plan) (string, error) {
	if s.Limit >= plentifulLimit {
		return "", nil
	}
	name := r.spending()
	steps := r.recorders[name].HolderSteps()
	inputs, err := trace.Inputs(trace.Shorten(steps))
	if err != nil {
		return "", err
	}
	var spends []trace.Spends
	for _, workspace := range plan.Workspaces {
		spends = append(spends, r.spends(workspace, name))
	}
	others, err := trace.Inputs(spends)
	parts := []string{directive("replay daemon="+name, inputs, trace.Outcomes(steps)), directive("others", others, "within rate and burst\n")}
	return strings.Join(parts, "\n"), err
}
