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
	recordedTraceFolder = "testdata/recorded"
	fileMode            = 0o644
	folderMode          = 0o755
)

// Write writes a trace of each decision package under folder. If folder is the root of the repository, the tests of the
// packages replay these traces. It omits the trace of limits that no workspace reaches and that of quarantine without a
// crash.
func (r *Recording) Write(folder string, s Scenario, d deployment.Deployment, seed uint64, times Times) error {
	title := fmt.Sprintf("# %s, %s, seed %d: %s before, %s of trigger, %s after.", d.Name, s.Name, seed, times.Before, times.Trigger, times.After)
	plan := s.Plan(d, seed, times)
	for _, file := range []struct {
		pkg  string
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
			return errorx.Decorate(err, "encode trace of %s", file.pkg)
		}
		if text == "" {
			continue
		}
		path := filepath.Join(folder, file.pkg, recordedTraceFolder, d.Name+"-"+s.Name)
		if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
			return errorx.Decorate(err, "create trace folder")
		}
		if err := os.WriteFile(path, []byte(title+"\n"+text), fileMode); err != nil {
			return errorx.Decorate(err, "write trace file")
		}
	}
	return nil
}

// directive formats one test case in the format of the datadriven package.
func directive(line, inputs, outcomes string) string {
	return line + "\n" + inputs + "----\n" + outcomes
}

func (r *Recording) admissionText(Scenario, deployment.Deployment, load.Plan) (string, error) {
	name := r.daemonWithMostDelays()
	steps := r.recorders[name].AdmissionSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) targetText(s Scenario, d deployment.Deployment, _ load.Plan) (string, error) {
	name := r.daemonWithMostChoices()
	steps := r.recorders[name].TargetSteps()
	inputs, err := trace.Inputs(steps)
	line := fmt.Sprintf("replay daemon=%s failure-domain=%s", name, r.failureDomains[name])
	if s.killedTarget != nil {
		line += fmt.Sprintf(" killed=%s at=%s", s.killedTarget(d), r.triggerStart)
	}
	return directive(line, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) budgetText(Scenario, deployment.Deployment, load.Plan) (string, error) {
	name := r.daemonWithMostRetries()
	steps := r.recorders[name].BudgetSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) quarantineText(s Scenario, _ deployment.Deployment, _ load.Plan) (string, error) {
	if s.killedTarget == nil && s.crashingRoute == nil {
		return "", nil
	}
	name := r.daemonWithMostCrashes()
	steps := r.recorders[name].QuarantineSteps()
	inputs, err := trace.Inputs(steps)
	return directive("replay daemon="+name, inputs, trace.Outcomes(steps)), err
}

func (r *Recording) limitText(s Scenario, _ deployment.Deployment, plan load.Plan) (string, error) {
	if s.Limit >= unreachedLimitFactor {
		return "", nil
	}
	name := r.daemonWithMostSpends()
	steps := r.recorders[name].HolderSteps()
	inputs, err := trace.Inputs(trace.MergeEmptyPolls(steps))
	if err != nil {
		return "", err
	}
	var spends []trace.Spends
	for _, workspace := range plan.Workspaces {
		spends = append(spends, r.otherSpends(workspace, name))
	}
	others, err := trace.Inputs(spends)
	parts := []string{directive("replay daemon="+name, inputs, trace.Outcomes(steps)), directive("others", others, "within rate and burst\n")}
	return strings.Join(parts, "\n"), err
}
