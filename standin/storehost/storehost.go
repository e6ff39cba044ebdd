// Package storehost implements a stand-in for a store host, which keeps cache
// blocks in memory and on disk behind one network link.
//
// A block has a nominal length, which determines its transfer time, and a small
// content, which is what the store keeps. The link transfers one block after the
// other. When memory is full, its oldest blocks move to disk.
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

// Config holds the settings of a Store.
type Config struct {
	Incarnation fleet.Incarnation
	Memory      fleet.Bytes // capacity in bytes, as the sum of nominal lengths
	Disk        fleet.Bytes // capacity in bytes, as the sum of nominal lengths
	LinkRate    fleet.ByteRate
	DiskRate    fleet.ByteRate // limits reads of blocks on disk, in addition to LinkRate
}

// Counts holds the counters of a Store. Bytes are nominal lengths of blocks.
type Counts struct {
	Reads, Writes int
	MemoryBytes   fleet.Bytes // read from memory
	DiskBytes     fleet.Bytes // read from disk
	WrittenBytes  fleet.Bytes
	LinkBusy      time.Duration // total transfer time
	RefusedReads  int           // reads of blocks that are not sealed or do not exist
}

// A Store serves blocks. Create one with New.
type Store struct {
	config Config

	mu            sync.Mutex
	table         cache.Table // state of the blocks
	contents      map[cache.Generation][]byte
	inMemory      []cache.Generation               // oldest first
	memoryLengths map[cache.Generation]fleet.Bytes // of the blocks in memory
	memoryUsed    fleet.Bytes
	linkFreeAt    time.Time // end of the last reserved transfer
	counts        Counts
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{
		config:        config,
		table:         cache.Table{Incarnation: config.Incarnation, Capacity: config.Memory + config.Disk},
		contents:      make(map[cache.Generation][]byte),
		memoryLengths: make(map[cache.Generation]fleet.Bytes),
	}
}

// Handler returns the HTTP handler of the store.
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

// Counts returns the current counters.
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
	found := []store.StoredBlock{}
	for _, key := range keys {
		seal, ok := s.table.Find(key)
		if !ok {
			break
		}
		tier, rate := s.tierAndRate(seal.Generation)
		found = append(found, store.StoredBlock{Seal: seal, Tier: tier, Rate: rate, Wait: max(0, time.Until(s.linkFreeAt))})
	}
	web.Reply(w, http.StatusOK, found)
}

// tierAndRate returns where the block is stored and the rate of a read. s.mu is held.
func (s *Store) tierAndRate(generation cache.Generation) (store.Tier, fleet.ByteRate) {
	if _, ok := s.memoryLengths[generation]; ok {
		return store.Memory, s.config.LinkRate
	}
	return store.Disk, min(s.config.LinkRate, s.config.DiskRate)
}

func (s *Store) reserve(w http.ResponseWriter, r *http.Request) {
	key, _, ok := parseBlockPath(w, r)
	if !ok {
		return
	}
	length, err := strconv.ParseInt(r.URL.Query().Get("Length"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "query parameter Length is not a number of bytes: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, err := s.table.Reserve(key, fleet.Bytes(length))
	if err != nil {
		refuseError(w, err)
		return
	}
	s.dropRemovedContents()
	web.Reply(w, http.StatusOK, cache.Seal{
		Incarnation: s.config.Incarnation, Generation: generation, Length: fleet.Bytes(length),
	})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parseBlockPath(w, r)
	if !ok {
		return
	}
	checksum, err := strconv.ParseUint(r.URL.Query().Get("Checksum"), 10, 64)
	if err != nil {
		web.Refuse(w, http.StatusBadRequest, "query parameter Checksum is not an unsigned integer: "+err.Error())
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		// The content is incomplete, so the block must never be sealed.
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
		refuseError(w, err)
		return
	}
	seal, _ := s.table.Find(key)
	s.counts.Writes++
	s.counts.WrittenBytes += seal.Length
	s.reserveLink(s.config.LinkRate.Time(seal.Length))
	s.inMemory = append(s.inMemory, generation)
	s.memoryLengths[generation] = seal.Length
	s.memoryUsed += seal.Length
	s.spill()
}

// spill moves the oldest blocks to disk until the rest fits in memory. s.mu is held.
func (s *Store) spill() {
	for s.memoryUsed > s.config.Memory && len(s.inMemory) > 0 {
		oldest := s.inMemory[0]
		s.inMemory = s.inMemory[1:]
		s.memoryUsed -= s.memoryLengths[oldest]
		delete(s.memoryLengths, oldest)
	}
}

// dropRemovedContents deletes the contents of blocks that the table no longer
// contains. s.mu is held.
func (s *Store) dropRemovedContents() {
	for generation := range s.contents {
		if !s.table.Contains(generation) {
			delete(s.contents, generation)
		}
	}
}

// reserveLink reserves the link for a transfer of duration d, which starts after all
// reserved transfers, and returns the time until its end. s.mu is held.
func (s *Store) reserveLink(d time.Duration) time.Duration {
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(d)
	s.counts.LinkBusy += d
	return s.linkFreeAt.Sub(now)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parseBlockPath(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	seal, err := s.table.Pin(key, generation)
	if err != nil {
		s.counts.RefusedReads++
		s.mu.Unlock()
		refuseError(w, err)
		return
	}
	tier, rate := s.tierAndRate(generation)
	s.counts.Reads++
	if tier == store.Memory {
		s.counts.MemoryBytes += seal.Length
	} else {
		s.counts.DiskBytes += seal.Length
	}
	wait := s.reserveLink(rate.Time(seal.Length))
	s.mu.Unlock()
	completed := task.Sleep(r.Context(), wait)
	s.mu.Lock()
	content := s.contents[generation]
	s.table.Unpin(generation)
	s.dropRemovedContents()
	s.mu.Unlock()
	if !completed {
		return
	}
	w.Header().Set("Incarnation", s.config.Incarnation.String())
	// A write error is ignored: the reader checks the received content against the
	// seal.
	_, _ = w.Write(content)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	key, generation, ok := parseBlockPath(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.table.Free(key, generation); err != nil {
		refuseError(w, err)
		return
	}
	s.dropRemovedContents()
}

func (s *Store) setRate(w http.ResponseWriter, r *http.Request) {
	rate, err := strconv.ParseInt(r.URL.Query().Get("LinkRate"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter LinkRate is not a number of bytes per second: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.LinkRate = fleet.ByteRate(rate)
}

// parseBlockPath returns the key and, if present, the generation in the path of a
// request. If one is malformed, it refuses the request and returns false.
func parseBlockPath(w http.ResponseWriter, r *http.Request) (key cache.Key, generation cache.Generation, ok bool) {
	if err := key.UnmarshalText([]byte(r.PathValue("key"))); err != nil {
		web.Refuse(w, http.StatusBadRequest, err.Error())
		return key, 0, false
	}
	if text := r.PathValue("generation"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			web.Refuse(w, http.StatusBadRequest, "generation in the path is not an unsigned integer: "+err.Error())
			return key, 0, false
		}
		generation = cache.Generation(n)
	}
	return key, generation, true
}

// refuseError refuses a request because of an error of the table, with status 507 if the
// store is full and 404 otherwise.
func refuseError(w http.ResponseWriter, err error) {
	var full *cache.FullError
	if errors.As(err, &full) {
		web.Refuse(w, http.StatusInsufficientStorage, err.Error())
		return
	}
	web.Refuse(w, http.StatusNotFound, err.Error())
}
