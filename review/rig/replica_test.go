//go:build review

package rig

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/standin/replica"
)

// replicaOptions describes a stand-in of a replica, which is a process of its own.
type replicaOptions struct {
	ID, Service, Zone, Address, Log string
	// Engine replicas answer with Events events: the first after First, each further one after
	// Every. Others answer after First.
	Engine       bool
	Events       int
	First, Every time.Duration
	// Crash is the ID of a part of prompts on which the replica crashes: as it begins to write an
	// answer, or with CrashAfter after that many events.
	Crash      string
	CrashAfter int
	// Framed answers have a length or chunks; others end with their connection.
	Framed  bool
	Version string
	born    int64
}

func (o replicaOptions) arguments() []string {
	return []string{
		"replica", "-id", o.ID, "-service", o.Service, "-zone", o.Zone, "-address", o.Address, "-log", o.Log,
		"-engine=" + strconv.FormatBool(o.Engine), "-events", strconv.Itoa(o.Events), "-first", o.First.String(),
		"-every", o.Every.String(), "-version", o.Version, "-crash", o.Crash, "-crashafter", strconv.Itoa(o.CrashAfter), "-framed=" + strconv.FormatBool(o.Framed),
	}
}

// registration returns what the replica writes in the platform's store.
func (o replicaOptions) registration(state string, sequence int, born int64) map[string]any {
	slots := 6
	if o.Engine {
		slots = 128
	}
	return map[string]any{
		"Service": o.Service, "Address": o.Address, "Zone": o.Zone, "Version": o.Version, "Slots": slots, "State": state,
		"WarmupLeftMs": 0, "Sequence": sequence, "born": born,
	}
}

// replicaMain runs a replica until it is killed.
func replicaMain(arguments []string) error {
	var o replicaOptions
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&o.ID, "id", "", "")
	flags.StringVar(&o.Service, "service", "", "")
	flags.StringVar(&o.Zone, "zone", "", "")
	flags.StringVar(&o.Address, "address", "", "")
	flags.StringVar(&o.Log, "log", "", "")
	flags.BoolVar(&o.Engine, "engine", false, "")
	flags.IntVar(&o.Events, "events", 120, "")
	flags.DurationVar(&o.First, "first", 0, "")
	flags.DurationVar(&o.Every, "every", 0, "")
	flags.BoolVar(&o.Framed, "framed", true, "")
	flags.StringVar(&o.Version, "version", "1", "")
	flags.StringVar(&o.Crash, "crash", "", "")
	flags.IntVar(&o.CrashAfter, "crashafter", 0, "")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	log, err := os.OpenFile(o.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return err
	}
	o.born = time.Now().UnixMilli()
	_, _ = fmt.Fprintf(log, "born %d\n", o.born)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go o.serveConn(conn, log)
	}
}

func (o replicaOptions) serveConn(conn net.Conn, log *os.File) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !o.serve(conn, request, body, log) {
			return
		}
	}
}

// serve answers one request, and reports whether the connection is kept.
func (o replicaOptions) serve(conn net.Conn, request *http.Request, body []byte, log *os.File) bool {
	id := request.Header.Get("Attempt-Id")
	switch {
	case request.URL.Path == "/v1/report" && o.Engine:
		report, _ := json.Marshal(map[string]any{
			"Stage": "unified", "Models": []any{}, "Busy": false, "Sequence": 0, "Waiting": 0, "Running": 0, "KvUsed": 0,
			"KvTotal": 88000, "Handles": 0, "born": o.born,
		})
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return err == nil
	case request.URL.Path == "/healthz":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", o.ID)
		return err == nil
	case id == "":
		_, err := io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case request.Header.Get("Expected-Instance") != "" && request.Header.Get("Expected-Instance") != o.ID:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	position, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	crashes := o.Crash != "" && strings.Contains(","+request.Header.Get("Prompt-Prefix"), ","+o.Crash+":")
	mark := ""
	if crashes {
		mark = " poisoned"
	}
	_, _ = fmt.Fprintf(log, "%d run %s position %d remaining %s target %s body %d%s\n", time.Now().UnixMilli(), id, position,
		request.Header.Get("Deadline-Remaining"), request.RequestURI, len(body), mark)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n", id, replica.Signature(id))
	time.Sleep(o.First)
	if !o.Engine {
		answer := "answer to " + id + strings.Repeat(".", 800)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
		_, _ = fmt.Fprintf(log, "%d answered %s %v\n", time.Now().UnixMilli(), id, err)
		return err == nil
	}
	return o.stream(conn, head, id, position, func(events int) {
		if crashes && events == o.CrashAfter {
			_, _ = fmt.Fprintf(log, "%d crash %s\n", time.Now().UnixMilli(), id)
			os.Exit(failed)
		}
	})
}

// stream writes the events after a position, and calls written before the head and after each event
// with the number of events written.
func (o replicaOptions) stream(conn net.Conn, head, id string, position int, written func(events int)) bool {
	write := func(text string) error {
		if o.Framed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(conn, text)
		return err
	}
	written(0)
	head += "Content-Type: text/event-stream\r\n"
	if o.Framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return false
	}
	for event := position + 1; event <= o.Events; event++ {
		if err := write(fmt.Sprintf("id: %d\ndata: v%s %s\n\n", event, o.Version, replica.EventData(id, event))); err != nil {
			return false
		}
		written(event - position)
		time.Sleep(o.Every)
	}
	if o.Framed {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return false
}
