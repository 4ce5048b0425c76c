package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// connectTimeout is how long clients allow a new connection to take.
const connectTimeout = time.Second

// A KeptConn is a client's connection that carries one request after another. It sends no request twice by itself.
type KeptConn struct {
	rig     *Rig
	machine int
	conn    net.Conn
	reader  *bufio.Reader
	// Carried is the number of requests that the present connection has carried to a complete answer.
	Carried int
}

// NewKeptConn returns a client of a machine that connects with its first request.
func (r *Rig) NewKeptConn(machine int) *KeptConn {
	return &KeptConn{rig: r, machine: machine}
}

// Close closes the connection, if there is one.
func (k *KeptConn) Close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// Send sends a request without a body and reads its whole answer. The number of bytes is that of the answer, with its
// head, that arrived.
func (k *KeptConn) Send(q Request) (Answer, int) {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", k.rig.IP(k.machine), outboundPort), connectTimeout)
		if err != nil {
			return Answer{Err: err}, 0
		}
		k.conn, k.Carried = conn, 0
		k.reader = bufio.NewReader(conn)
	}
	a, received := k.exchange(q)
	if a.Err != nil {
		k.Close()
		return a, received
	}
	k.Carried++
	return a, received
}

func (k *KeptConn) exchange(q Request) (Answer, int) {
	_ = k.conn.SetDeadline(time.Now().Add(time.Duration(q.DeadlineMs) * time.Millisecond))
	counter := &countingReader{reader: k.conn}
	k.reader.Reset(counter)
	_, err := fmt.Fprintf(k.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nSapphirespread-Request-Id: %s\r\nSapphirespread-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		q.Method, q.Path, q.Host, q.ID, q.DeadlineMs, q.Key)
	if err != nil {
		return Answer{Err: err}, 0
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: q.Method})
	if err != nil {
		return Answer{Err: err}, counter.count
	}
	body, err := io.ReadAll(response.Body)
	a := Answer{Status: response.StatusCode, Signature: response.Header.Get("Sapphirespread-Response-Signature"), Body: body, Err: err}
	if response.Close {
		k.Close()
	}
	return a, counter.count
}

// Closed reports whether an answer failed since the daemon closed the connection.
func Closed(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) && !network.Timeout()
}

type countingReader struct {
	reader io.Reader
	count  int
}

func (c *countingReader) Read(buffer []byte) (int, error) {
	n, err := c.reader.Read(buffer)
	c.count += n
	return n, err
}

// CallersAddress returns the address at which the daemon of a machine serves its clients.
func (r *Rig) CallersAddress(machine int) string {
	return fmt.Sprintf("%s:%d", r.IP(machine), outboundPort)
}

// ReadStatus reads an answer and returns its status, or 0 if there is no whole answer.
func ReadStatus(conn io.Reader) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
