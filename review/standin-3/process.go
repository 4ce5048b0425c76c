package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// samplePeriod is the time between two looks at the memory of a process.
const samplePeriod = 20 * time.Millisecond

// A process is one of the project's own processes, which the case starts as the platform does.
type process struct {
	world    *world
	name     string
	role     string
	settings string
	mu       sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
	peak     atomic.Int64 // resident bytes
}

// run starts a process with the command of the deploy file and the given settings.
func (w *world) run(name, role, settings string) *process {
	p := &process{world: w, name: name, role: role, settings: filepath.Join(w.folder, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		panic(err)
	}
	w.processes = append(w.processes, p)
	p.start()
	return p
}

// start starts the process, also once more after it has ended.
func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command(filepath.Join("target", "sapphirespread"), "platform", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIRESPREAD_NODE_FILE=" + p.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	p.world.note("%s started", p.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.world.note("%s ended: %s", p.name, command.ProcessState)
		close(done)
	}()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(samplePeriod):
				p.peak.Store(max(p.peak.Load(), p.resident()))
			}
		}
	}()
}

func (p *process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.done
}

// ended returns a channel that is closed once the process has ended.
func (p *process) ended() <-chan struct{} {
	_, done := p.current()
	return done
}

// resident returns the resident memory in bytes, or 0 if the process has ended.
func (p *process) resident() int64 {
	command, _ := p.current()
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	_, rest, _ := strings.Cut(string(content), "VmRSS:")
	var kilobytes int64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	command, _ := p.current()
	p.world.note("%s gets signal %d", p.name, int(s))
	_ = command.Process.Signal(s)
}

// end ends the process at the end of the case.
func (p *process) end() {
	command, done := p.current()
	_ = command.Process.Kill()
	<-done
}
