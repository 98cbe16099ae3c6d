package kv

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// The messages of the gateway. Byte fields are base64 and 64-bit integers are
// strings, as its published mapping says.
type (
	header struct {
		Revision int64 `json:"revision,string"`
	}
	keyValue struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value,omitempty"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
		Version        int64  `json:"version,string"`
		Lease          int64  `json:"lease,string,omitempty"`
	}
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	rangeResponse struct {
		Header header     `json:"header"`
		Kvs    []keyValue `json:"kvs,omitempty"`
		Count  int64      `json:"count,string"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease number `json:"lease,omitempty"`
	}
	deleteRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	compare struct {
		Result      string `json:"result"`
		Target      string `json:"target"`
		Key         []byte `json:"key"`
		ModRevision number `json:"mod_revision"`
	}
	operation struct {
		Range  *rangeRequest  `json:"request_range,omitempty"`
		Put    *putRequest    `json:"request_put,omitempty"`
		Delete *deleteRequest `json:"request_delete_range,omitempty"`
	}
	txnRequest struct {
		Compare []compare   `json:"compare"`
		Success []operation `json:"success"`
		Failure []operation `json:"failure"`
	}
	operationResponse struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	}
	txnResponse struct {
		Header    header              `json:"header"`
		Succeeded bool                `json:"succeeded"`
		Responses []operationResponse `json:"responses"`
	}
)

// number is a 64-bit integer that reads from a JSON string or number.
type number int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(data []byte) error {
	text := string(data)
	if len(text) > 1 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*n = number(value)
	return err
}

// errNoLease is the answer to a call that names a lease which has lapsed.
var errNoLease = errors.New("etcdserver: requested lease not found")

// EtcdHandler returns the HTTP gateway of the store.
func (s *Store) EtcdHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", answer(s, &s.calls.Ranges, false, s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", answer(s, &s.calls.Txns, true, s.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", answer(s, &s.calls.Leases, true, s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", answer(s, &s.calls.Leases, false, s.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", answer(s, &s.calls.Leases, true, s.serveRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

// answer decodes a request, carries out serve under the lock and encodes its result.
func answer[Request, Response any](s *Store, count *int64, write bool, serve func(Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ask Request
		if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f := s.fate(write)
		wait(r.Context(), f.delay)
		if f.dropped {
			drop()
		}
		s.mu.Lock()
		*count++
		s.lapse()
		response, err := serve(ask)
		s.mu.Unlock()
		if f.answerLost {
			drop()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

func (s *Store) serveRange(ask rangeRequest) (rangeResponse, error) {
	return s.rangeLocked(ask), nil
}

func (s *Store) rangeLocked(ask rangeRequest) rangeResponse {
	response := rangeResponse{Header: header{s.revision}}
	for _, key := range s.keysIn(string(ask.Key), string(ask.RangeEnd)) {
		response.Kvs = append(response.Kvs, wireEntry(key, s.entries[key]))
	}
	response.Count = int64(len(response.Kvs))
	return response
}

func wireEntry(key string, e entry) keyValue {
	return keyValue{
		Key: []byte(key), Value: e.value, CreateRevision: e.createRevision,
		ModRevision: e.modRevision, Version: e.version, Lease: e.lease,
	}
}

func (s *Store) serveTxn(ask txnRequest) (txnResponse, error) {
	response := txnResponse{Succeeded: s.holds(ask.Compare)}
	operations := ask.Failure
	if response.Succeeded {
		operations = ask.Success
	}
	for _, op := range operations {
		if op.Put != nil && !s.leaseStands(int64(op.Put.Lease)) {
			return txnResponse{}, errNoLease
		}
	}
	for _, op := range operations {
		response.Responses = append(response.Responses, s.apply(op))
	}
	response.Header.Revision = s.revision
	return response, nil
}

func (s *Store) leaseStands(id int64) bool {
	_, ok := s.leases[id]
	return id == 0 || ok
}

func (s *Store) holds(compares []compare) bool {
	for _, c := range compares {
		if s.entries[string(c.Key)].modRevision != int64(c.ModRevision) {
			return false
		}
	}
	return true
}

func (s *Store) apply(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(string(op.Put.Key), op.Put.Value, int64(op.Put.Lease))
	case op.Delete != nil:
		for _, key := range s.keysIn(string(op.Delete.Key), string(op.Delete.RangeEnd)) {
			s.remove(key)
		}
	case op.Range != nil:
		response := s.rangeLocked(*op.Range)
		return operationResponse{Range: &response}
	}
	return operationResponse{}
}
