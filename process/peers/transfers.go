package peers

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/connection/transfer"
)

const (
	// transferPath is the path at which messages are exchanged that do not fit a datagram.
	transferPath = "/v1/transfer"
	// maxTransferConnections limits the connections of other entries: those of one relay's entries.
	maxTransferConnections = 64
	// questionReadTimeout limits how long the question on a connection may take to arrive, and
	// transferWriteTimeout how long its answer may take to be read.
	questionReadTimeout  = 2 * time.Second
	transferWriteTimeout = 30 * time.Second
	// transferConnectTimeout limits the time to connect to another entry.
	transferConnectTimeout = 300 * time.Millisecond
	// listenAttempts is how many ports are tried for an address that names none.
	listenAttempts = 16
)

// listenBoth opens a UDP socket and a TCP listener at one address.
func listenBoth(address string) (*net.UDPConn, net.Listener, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	for attempt := 1; ; attempt++ {
		conn, err := net.ListenUDP("udp", local)
		if err != nil {
			return nil, nil, errors.WithStack(err)
		}
		listener, err := net.Listen("tcp", conn.LocalAddr().String())
		if err == nil {
			return conn, listener, nil
		}
		_ = conn.Close()
		if local.Port != 0 || attempt == listenAttempts {
			return nil, nil, errors.WithStack(err)
		}
	}
}

// ServeTransfers answers questions whose answers may be too long for a datagram, until the connection is
// closed. answer returns false if the question gets none.
func (c *Conn) ServeTransfers(answer func(Update) (Update, bool)) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+transferPath, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDatagram))
		var question, response Update
		ok := err == nil && cbor.Unmarshal(data, &question) == nil && question.Entry != "" && len(question.Entry) <= maxNameBytes
		if ok {
			response, ok = answer(question)
		}
		if ok {
			data, err = cbor.Marshal(response)
			ok = err == nil
		}
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(data)
	})
	server := &http.Server{
		Handler: mux, ReadTimeout: questionReadTimeout, WriteTimeout: transferWriteTimeout, MaxHeaderBytes: bounded.MaxHeadBytes,
	}
	server.SetKeepAlivesEnabled(false)
	err := server.Serve(netutil.LimitListener(c.listener, maxTransferConnections))
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// Ask sends a question to an entry over a connection and returns the answer. The context may have a
// transfer.Allowance.
func (c *Conn) Ask(ctx context.Context, address string, question Update) (Update, error) {
	data, err := cbor.Marshal(question)
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+transferPath, bytes.NewReader(data))
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Update{}, errors.Errorf("entry at %s responded with status %d", address, response.StatusCode)
	}
	data, err = io.ReadAll(http.MaxBytesReader(nil, response.Body, bounded.MaxResponseBytes))
	if err != nil {
		return Update{}, errors.WithStack(err)
	}
	var answer Update
	return answer, errors.WithStack(cbor.Unmarshal(data, &answer))
}

func newTransferClient() *http.Client {
	dialer := &net.Dialer{Timeout: transferConnectTimeout}
	return &http.Client{Transport: &transfer.Transport{Base: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}}}
}
