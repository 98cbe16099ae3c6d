package kv

import (
	"time"
)

type grantRequest struct {
	TTL number `json:"TTL"`
	ID  number `json:"ID"`
}

type leaseRequest struct {
	ID number `json:"ID"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

func (s *Store) serveGrant(ask grantRequest) (leaseResponse, error) {
	s.lastID++
	id := int64(ask.ID)
	if id == 0 {
		id = s.lastID
	}
	ttl := time.Duration(ask.TTL) * time.Second
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return leaseResponse{Header: header{s.revision}, ID: id, TTL: int64(ask.TTL)}, nil
}

func (s *Store) serveKeepAlive(ask leaseRequest) (keepAliveResponse, error) {
	response := leaseResponse{Header: header{s.revision}, ID: int64(ask.ID)}
	if held, ok := s.leases[int64(ask.ID)]; ok {
		held.expires = time.Now().Add(held.ttl)
		s.leases[int64(ask.ID)] = held
		response.TTL = int64(held.ttl / time.Second)
	}
	return keepAliveResponse{Result: response}, nil
}

func (s *Store) serveRevoke(ask leaseRequest) (leaseResponse, error) {
	if _, ok := s.leases[int64(ask.ID)]; !ok {
		return leaseResponse{}, errNoLease
	}
	s.endLease(int64(ask.ID))
	return leaseResponse{Header: header{s.revision}, ID: int64(ask.ID)}, nil
}

// ExpireLeases makes all leases lapse now, as when their time ran out.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// lapse ends the leases whose time ran out. Every call looks first.
func (s *Store) lapse() {
	now := time.Now()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range s.keysIn("", "\x00") {
		if s.entries[key].lease == id {
			s.remove(key)
		}
	}
}
