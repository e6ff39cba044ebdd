// Package storehost is a stand-in for a store host: cache blocks in memory and
// on disk behind one link.
//
// Blocks have a nominal length that the link carries at its rate; what is kept
// is a small content that stands for them. Transfers are booked on the link
// one after the other. The oldest blocks in memory move to disk when memory is
// full.
package storehost

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/store"
	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// A Config sets a store's abilities.
type Config struct {
	Incarnation fleet.Incarnation
	Memory      fleet.Bytes
	Disk        fleet.Bytes
	LinkRate    fleet.ByteRate
	DiskRate    fleet.ByteRate
}

// Counts is what a store has seen.
type Counts struct {
	Reads, Writes int
	MemoryBytes   fleet.Bytes // read from memory
	DiskBytes     fleet.Bytes // read from disk
	WrittenBytes  fleet.Bytes
	LinkBusy      time.Duration
	RefusedReads  int // reads of blocks that are not sealed
}

// A Store serves blocks. Make one with New.
type Store struct {
	config Config

	mu       sync.Mutex
	table    cache.Table
	contents map[cache.Generation][]byte
	inMemory []cache.Generation // oldest first
	lengths  map[cache.Generation]fleet.Bytes
	memory   fleet.Bytes
	free     time.Time // when the link is free
	counts   Counts
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{
		config:   config,
		table:    cache.Table{Incarnation: config.Incarnation, Capacity: config.Memory + config.Disk},
		contents: make(map[cache.Generation][]byte),
		lengths:  make(map[cache.Generation]fleet.Bytes),
	}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /find", s.find)
	mux.HandleFunc("POST /blocks/{key}", s.reserve)
	mux.HandleFunc("PUT /blocks/{key}/{generation}", s.write)
	mux.HandleFunc("GET /blocks/{key}/{generation}", s.read)
	mux.HandleFunc("DELETE /blocks/{key}/{generation}", s.remove)
	mux.HandleFunc("POST /admin/rate", s.setRate)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		web.Reply(w, http.StatusOK, s.Counts())
	})
	return mux
}

// Counts returns what the store has seen.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) find(w http.ResponseWriter, r *http.Request) {
	var keys []cache.Key
	if !web.Decode(w, r, &keys) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holdings := []store.StoredBlock{}
	for _, key := range keys {
		seal, ok := s.table.Find(key)
		if !ok {
			break
		}
		tier, rate := s.tier(seal.Generation)
		holdings = append(holdings, store.StoredBlock{Seal: seal, Tier: tier, Rate: rate, Wait: max(0, time.Until(s.free))})
	}
	web.Reply(w, http.StatusOK, holdings)
}

func (s *Store) tier(generation cache.Generation) (store.Tier, fleet.ByteRate) {
	if _, ok := s.lengths[generation]; ok {
		return store.Memory, s.config.LinkRate
	}
	return store.Disk, min(s.config.LinkRate, s.config.DiskRate)
}

func (s *Store) reserve(w http.ResponseWriter, r *http.Request) {
	key, _, ok := parse(w, r)
	if !ok {
		return
	}
	length, err := strconv.ParseInt(r.URL.Query().Get("Length"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad Length")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, err := s.table.Reserve(key, fleet.Bytes(length))
	if err != nil {
		refuse(w, err)
		return
	}
	s.forget()
	web.Reply(w, http.StatusOK, cache.Seal{
		Incarnation: s.config.Incarnation, Generation: generation, Length: fleet.Bytes(length),
	})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parse(w, r)
	if !ok {
		return
	}
	checksum, err := strconv.ParseUint(r.URL.Query().Get("Checksum"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "bad Checksum")
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		// Partly written: the block is never sealed.
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.table.Free(key, generation)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents[generation] = content
	if err := s.table.Seal(key, generation, cache.Checksum(checksum)); err != nil {
		delete(s.contents, generation)
		refuse(w, err)
		return
	}
	seal, _ := s.table.Find(key)
	s.counts.Writes++
	s.counts.WrittenBytes += seal.Length
	s.book(s.config.LinkRate.Time(seal.Length))
	s.inMemory = append(s.inMemory, generation)
	s.lengths[generation] = seal.Length
	s.memory += seal.Length
	s.spill()
}

// spill moves the oldest blocks to disk until memory suffices.
func (s *Store) spill() {
	for s.memory > s.config.Memory && len(s.inMemory) > 0 {
		oldest := s.inMemory[0]
		s.inMemory = s.inMemory[1:]
		s.memory -= s.lengths[oldest]
		delete(s.lengths, oldest)
	}
}

// forget drops the contents of blocks that the table gave up.
func (s *Store) forget() {
	for generation := range s.contents {
		if !s.table.Contains(generation) {
			delete(s.contents, generation)
		}
	}
}

// book takes the link for a transfer and returns how long until it is over.
func (s *Store) book(d time.Duration) time.Duration {
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(d)
	s.counts.LinkBusy += d
	return s.free.Sub(now)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parse(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	seal, err := s.table.Pin(key, generation)
	if err != nil {
		s.counts.RefusedReads++
		s.mu.Unlock()
		refuse(w, err)
		return
	}
	tier, rate := s.tier(generation)
	s.counts.Reads++
	if tier == store.Memory {
		s.counts.MemoryBytes += seal.Length
	} else {
		s.counts.DiskBytes += seal.Length
	}
	wait := s.book(rate.Time(seal.Length))
	s.mu.Unlock()
	whole := task.Sleep(r.Context(), wait)
	s.mu.Lock()
	content := s.contents[generation]
	s.table.Unpin(generation)
	s.forget()
	s.mu.Unlock()
	if !whole {
		return
	}
	w.Header().Set("Incarnation", s.config.Incarnation.String())
	// The reader checks what arrived against the seal.
	_, _ = w.Write(content)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parse(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.table.Free(key, generation); err != nil {
		refuse(w, err)
		return
	}
	s.forget()
}

func (s *Store) setRate(w http.ResponseWriter, r *http.Request) {
	rate, err := strconv.ParseInt(r.URL.Query().Get("LinkRate"), 10, 64)
	if err != nil {
		http.Error(w, "bad LinkRate", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.LinkRate = fleet.ByteRate(rate)
}

func parse(w http.ResponseWriter, r *http.Request) (key cache.Key, generation cache.Generation, ok bool) {
	if err := key.UnmarshalText([]byte(r.PathValue("key"))); err != nil {
		web.Refuse(w, http.StatusBadRequest, err.Error())
		return key, 0, false
	}
	if text := r.PathValue("generation"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			web.Refuse(w, http.StatusBadRequest, "bad generation")
			return key, 0, false
		}
		generation = cache.Generation(n)
	}
	return key, generation, true
}

func refuse(w http.ResponseWriter, err error) {
	var full *cache.FullError
	if errors.As(err, &full) {
		web.Refuse(w, http.StatusInsufficientStorage, err.Error())
		return
	}
	web.Refuse(w, http.StatusNotFound, err.Error())
}
