package kv

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// The messages of the JSON gateway. As in its published mapping, byte fields are base64
// and 64-bit integers are strings.
type (
	responseHeader struct {
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
		Header responseHeader `json:"header"`
		Kvs    []keyValue     `json:"kvs,omitempty"`
		Count  int64          `json:"count,string"`
	}
	putRequest struct {
		Key   []byte    `json:"key"`
		Value []byte    `json:"value"`
		Lease jsonInt64 `json:"lease,omitempty"`
	}
	deleteRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	compare struct {
		Result      string    `json:"result"`
		Target      string    `json:"target"`
		Key         []byte    `json:"key"`
		ModRevision jsonInt64 `json:"mod_revision"`
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
		Header    responseHeader      `json:"header"`
		Succeeded bool                `json:"succeeded"`
		Responses []operationResponse `json:"responses"`
	}
)

// jsonInt64 is a 64-bit integer that is decoded from a JSON string or number.
type jsonInt64 int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *jsonInt64) UnmarshalJSON(data []byte) error {
	text := string(data)
	if len(text) > 1 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*n = jsonInt64(value)
	return err
}

// errLeaseNotFound is returned for a call that names an expired or unknown lease.
var errLeaseNotFound = errors.New("etcdserver: requested lease not found")

// EtcdHandler serves the store through the JSON gateway of etcd v3.
func (s *Store) EtcdHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", etcdCall(s, &s.calls.Ranges, false, s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", etcdCall(s, &s.calls.Txns, true, s.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", etcdCall(s, &s.calls.Leases, true, s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", etcdCall(s, &s.calls.Leases, false, s.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", etcdCall(s, &s.calls.Leases, true, s.serveRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

// etcdCall decodes a request, executes serve under the lock and encodes its result. It
// applies the faults that are set, except Silent.
func etcdCall[Request, Response any](s *Store, count *int64, write bool, serve func(Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f := s.drawFaults(write)
		sleep(r.Context(), f.delay)
		if f.requestLost {
			dropConnection()
		}
		s.mu.Lock()
		*count++
		s.removeExpiredLeases()
		response, err := serve(req)
		s.mu.Unlock()
		if f.responseLost {
			dropConnection()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

func (s *Store) serveRange(req rangeRequest) (rangeResponse, error) {
	return s.rangeLocked(req), nil
}

func (s *Store) rangeLocked(req rangeRequest) rangeResponse {
	response := rangeResponse{Header: responseHeader{s.revision}}
	for _, key := range s.keysIn(string(req.Key), string(req.RangeEnd)) {
		response.Kvs = append(response.Kvs, toKeyValue(key, s.entries[key]))
	}
	response.Count = int64(len(response.Kvs))
	return response
}

func toKeyValue(key string, e entry) keyValue {
	return keyValue{
		Key: []byte(key), Value: e.value, CreateRevision: e.createRevision,
		ModRevision: e.modRevision, Version: e.version, Lease: e.lease,
	}
}

func (s *Store) serveTxn(req txnRequest) (txnResponse, error) {
	response := txnResponse{Succeeded: s.conditionsHold(req.Compare)}
	operations := req.Failure
	if response.Succeeded {
		operations = req.Success
	}
	for _, op := range operations {
		if op.Put != nil && !s.leaseExists(int64(op.Put.Lease)) {
			return txnResponse{}, errLeaseNotFound
		}
	}
	for _, op := range operations {
		response.Responses = append(response.Responses, s.apply(op))
	}
	response.Header.Revision = s.revision
	return response, nil
}

func (s *Store) leaseExists(id int64) bool {
	_, ok := s.leases[id]
	return id == 0 || ok
}

func (s *Store) conditionsHold(compares []compare) bool {
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
