package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slowReaders     = 340
	readersASecond  = 60
	downloadBytes   = 4 << 20
	slowReadBytes   = 8 << 10
	slowReadPeriod  = 100 * time.Millisecond // 80 KiB a second, so that a download ends within TimeoutS
	slowReadingTime = 25 * time.Second
	receiveBuffer   = 4 << 10
	ordinaryClients = 20
	ordinaryWork    = 400 * time.Millisecond
	lostAllowed     = 3
)

func init() { plays["slow-readers"] = playSlowReaders }

// playSlowReaders has clients of one machine fetch downloads that run at the target of another machine, and read them
// slowly. The platform kills a process whose memory is over MemoryMb.
func playSlowReaders(s *system, trouble bool) (string, error) {
	if err := s.startControls(); err != nil {
		return "", err
	}
	front, err := s.startDaemon(1, "front")
	if err != nil {
		return "", err
	}
	if _, err := s.startDaemon(2, "media"); err != nil {
		return "", err
	}
	content := strings.Repeat("x", downloadBytes)
	media, err := s.startTarget(2, "media", 420, func(_ *target, w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/film") {
			if strings.HasSuffix(r.URL.Path, "/booking") {
				pause(r.Context(), ordinaryWork)
			}
			_, _ = io.WriteString(w, "ok")
			return
		}
		pause(r.Context(), 72*time.Millisecond)
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		_, _ = io.WriteString(w, content)
	})
	if err != nil {
		return "", err
	}
	document := `{"Version":1,"Routes":{"r-media":{"Host":"a.example","PathPrefix":"/media/","RouteType":"download","TimeoutS":60,"AimS":20,"Priority":1,"Service":"media","MaxAttempts":2,"AllowAnonymous":true},
		"r-book":{"Host":"a.example","PathPrefix":"/book/","RouteType":"unsafe","TimeoutS":6,"AimS":1.5,"Priority":0,"Service":"media","MaxAttempts":2,"AllowAnonymous":true}},
		"Services":{"front":{"HealthPath":"/health","MaxConnections":2620,"Protocol":"h1","Tls":false},"media":{"HealthPath":"/health","MaxConnections":2620,"Protocol":"h1","Tls":false}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`
	if err := s.publish(0, document); err != nil {
		return "", err
	}
	if err := s.awaitReady(2, "a.example", "/media/calm"); err != nil {
		return "", err
	}
	s.warmUp("/media/calm", 600)
	s.record.printf("the daemon of the clients holds %d MiB in calm", residentMiB(front))
	var group sync.WaitGroup
	var whole, cut, refused atomic.Int64
	stop := make(chan struct{})
	o := &ordinary{system: s}
	for range ordinaryClients {
		group.Go(func() { o.use(stop) })
	}
	for number := range slowReaders {
		group.Go(func() {
			time.Sleep(time.Duration(number) * time.Second / readersASecond)
			switch s.download(trouble, stop) {
			case downloadWhole:
				whole.Add(1)
			case downloadCut:
				cut.Add(1)
			default:
				refused.Add(1)
			}
		})
	}
	most, killed := 0, false
	for end := time.Now().Add(slowReaders/readersASecond*time.Second + slowReadingTime); time.Now().Before(end) && !front.hasEnded(); time.Sleep(20 * time.Millisecond) {
		now := residentMiB(front)
		if now > most {
			most = now
		}
		if now > memoryMb {
			s.record.printf("the daemon holds %d MiB, more than MemoryMb: the platform kills it", now)
			s.signal(front, syscall.SIGKILL)
			killed = true
			break
		}
	}
	if killed {
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	begun := make(map[string]bool)
	for _, one := range media.allRuns() {
		begun[one.id] = true
	}
	lost := 0
	for _, id := range o.unanswered {
		if begun[id] {
			lost++
			s.record.printf("booking %s began to run at the target; its kept connection was closed without a byte of an answer", id)
		}
	}
	s.record.printf("%d clients with downloads: %d whole, %d cut, %d refused or none; %d bookings on kept connections answered, %d lost; most memory %d MiB of %d", slowReaders, whole.Load(), cut.Load(), refused.Load(), o.answered, lost, most, memoryMb)
	if o.answered == 0 {
		return "", errors.New("no booking was answered")
	}
	if lost > lostAllowed {
		return fmt.Sprintf("LOST: %d requests on kept connections were passed on to a sound target and their connections closed without an answer, since the daemon went over its memory (%d MiB of %d)", lost, most, memoryMb), nil
	}
	return "", nil
}

// ordinary are clients that book, one request at a time on a kept connection each.
type ordinary struct {
	system     *system
	mu         sync.Mutex
	answered   int
	unanswered []string
}

// use books until the play ends or the connection breaks. A request counts as unanswered if its connection had carried one to
// its answer before, and ended without a byte of this answer.
func (o *ordinary) use(stop <-chan struct{}) {
	conn, err := net.Dial("tcp", o.system.address(daemonHost(1), outboundPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for kept := false; ; kept = true {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		if _, err := fmt.Fprintf(conn, "POST /book/booking HTTP/1.1\r\nHost: a.example\r\nSapphirespread-Request-Id: %s\r\nSapphirespread-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbook", id); err != nil {
			return
		}
		if _, err := reader.Peek(1); err != nil {
			if kept {
				o.mu.Lock()
				o.unanswered = append(o.unanswered, id)
				o.mu.Unlock()
			}
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return
		}
		o.mu.Lock()
		o.answered++
		o.mu.Unlock()
	}
}

// warmUp sends short requests, so that the daemons know what the target can do.
func (s *system) warmUp(path string, requests int) {
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			for range requests / 20 {
				_, _ = s.call(http.MethodGet, "http://"+s.address(daemonHost(1), outboundPort)+path, "", map[string]string{
					"Host": "a.example", "Sapphirespread-Request-Id": newID(), "Sapphirespread-Deadline-Ms": "3000",
				})
			}
		})
	}
	group.Wait()
}

// The ends of a download.
const (
	downloadNone = iota
	downloadCut
	downloadWhole
)

// download fetches a film on a connection that the client keeps, slowly or as fast as it comes.
func (s *system) download(slowly bool, stop <-chan struct{}) int {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if !slowly {
			return nil
		}
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", s.address(daemonHost(1), outboundPort))
	if err != nil {
		return downloadNone
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /media/film HTTP/1.1\r\nHost: a.example\r\nSapphirespread-Request-Id: %s\r\nSapphirespread-Deadline-Ms: 60000\r\n\r\n", newID())
	reader := bufio.NewReaderSize(conn, slowReadBytes)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return downloadNone
	}
	defer func() { _ = response.Body.Close() }()
	for buffer, read := make([]byte, slowReadBytes), 0; ; {
		n, err := response.Body.Read(buffer)
		read += n
		switch {
		case err == io.EOF && read == downloadBytes:
			return downloadWhole
		case err != nil:
			return downloadCut
		}
		if !slowly {
			continue
		}
		select {
		case <-stop:
			// The daemon is gone, or the play ends.
			slowly = false
		case <-time.After(slowReadPeriod):
		}
	}
}
