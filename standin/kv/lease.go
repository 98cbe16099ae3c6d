package kv

import (
	"time"
)

type grantRequest struct {
	TTL jsonInt64 `json:"TTL"`
	ID  jsonInt64 `json:"ID"`
}

type leaseRequest struct {
	ID jsonInt64 `json:"ID"`
}

type leaseResponse struct {
	Header responseHeader `json:"header"`
	ID     int64          `json:"ID,string"`
	TTL    int64          `json:"TTL,string,omitempty"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

func (s *Store) serveGrant(req grantRequest) (leaseResponse, error) {
	s.lastID++
	id := int64(req.ID)
	if id == 0 {
		id = s.lastID
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return leaseResponse{Header: responseHeader{s.revision}, ID: id, TTL: int64(req.TTL)}, nil
}

func (s *Store) serveKeepAlive(req leaseRequest) (keepAliveResponse, error) {
	response := leaseResponse{Header: responseHeader{s.revision}, ID: int64(req.ID)}
	if granted, ok := s.leases[int64(req.ID)]; ok {
		granted.expires = time.Now().Add(granted.ttl)
		s.leases[int64(req.ID)] = granted
		response.TTL = int64(granted.ttl / time.Second)
	}
	return keepAliveResponse{Result: response}, nil
}

func (s *Store) serveRevoke(req leaseRequest) (leaseResponse, error) {
	if _, ok := s.leases[int64(req.ID)]; !ok {
		return leaseResponse{}, errLeaseNotFound
	}
	s.removeLease(int64(req.ID))
	return leaseResponse{Header: responseHeader{s.revision}, ID: int64(req.ID)}, nil
}

// ExpireLeases ends all leases at once, as if their TTL had run out.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}

// removeExpiredLeases removes the leases whose TTL has run out. Every call does this
// first.
func (s *Store) removeExpiredLeases() {
	now := time.Now()
	for id, granted := range s.leases {
		if now.After(granted.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for _, key := range s.keysIn("", "\x00") {
		if s.entries[key].lease == id {
			s.remove(key)
		}
	}
}
