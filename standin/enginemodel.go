package standin

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// CacheBlockTokens is the number of prompt tokens in one cache block.
	CacheBlockTokens = 16

	// Defaults of EngineModelOptions. With them, a batch of 72 generates 4,186
	// tokens per second, enough for the 4,167 of one replica at the planned size,
	// with 17.2 ms between tokens, or 27.4 ms while prompts are processed. The
	// full batch of 256 generates 7,191 per second with 35.6 ms, or 45.8 ms.
	DefaultSlots           = 256
	DefaultWaitingLimit    = 4096
	DefaultStepBase        = 10 * time.Millisecond
	DefaultStepPerSequence = 100 * time.Microsecond
	DefaultPrefillRate     = 50_000
	DefaultPrefillChunk    = 512
	DefaultCacheBlocks     = 32_768

	// minSlowFactor keeps a step longer than zero.
	minSlowFactor = 0.001
	// cacheEventLimit bounds the cache events that wait for TakeCacheEvents;
	// the oldest half is dropped at the bound, which subscribers see as a gap.
	cacheEventLimit = 8192
)

// ErrEngineFull means that the engine's waiting list is at its limit.
var ErrEngineFull = errors.New("standin: the engine's waiting list is full")

// ErrDuplicateRequest means that a request with the same id is in the engine.
var ErrDuplicateRequest = errors.New("standin: a request with this id is in the engine")

// EngineModelOptions set the capacity of a modelled engine. The engine works in
// steps. Each step yields one token for every running sequence whose prompt has
// been processed, and processes up to PrefillChunk prompt tokens of the others,
// the most urgent first. A step lasts
//
//	(StepBase + StepPerSequence*decoding + prompt tokens/PrefillRate) * factor
//
// so that the time between tokens grows with the batch and with long prompts.
// A sequence joins at the next step boundary; its first token comes at the end
// of the step that finishes its prompt.
type EngineModelOptions struct {
	// Slots is the largest batch; zero means DefaultSlots.
	Slots int
	// WaitingLimit bounds the sequences without a slot; zero means DefaultWaitingLimit.
	WaitingLimit int
	// StepBase is the duration of a step without any sequence; zero means DefaultStepBase.
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence; zero means DefaultStepPerSequence.
	StepPerSequence time.Duration
	// PrefillRate is in prompt tokens per second; zero means DefaultPrefillRate.
	PrefillRate int
	// PrefillChunk is the most prompt tokens in one step; zero means DefaultPrefillChunk.
	PrefillChunk int
	// CacheBlocks limits the prefix cache, in blocks of CacheBlockTokens prompt
	// tokens; zero means DefaultCacheBlocks. The least recently used are evicted.
	CacheBlocks int
	// Preempt lets a waiting sequence take the slot of a running one with a
	// higher priority number. The latter waits and its prompt and text so far
	// are processed again.
	Preempt bool
}

// EngineRequest is one sequence to generate.
type EngineRequest struct {
	ID uint64
	// Priority orders waiting sequences; a lower number is more urgent.
	Priority     int
	PromptTokens int
	// Blocks are cumulative hashes of the prompt's whole cache blocks.
	Blocks []uint64
	// First is the index of the first token, above zero for a continued text.
	First int
	// Tokens is the number of tokens to generate, at least 1.
	Tokens int
}

// EngineEventKind says what happened to a sequence.
type EngineEventKind int

// Kinds of events. EventDone follows the last EventToken of a sequence.
const (
	EventToken EngineEventKind = iota + 1
	EventDone
	EventPreempted
)

// EngineEvent reports progress of one sequence.
type EngineEvent struct {
	At   time.Time
	ID   uint64
	Kind EngineEventKind
	// Index is the token's index for EventToken.
	Index int
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int
}

// CacheEvent reports that a block entered or left the prefix cache.
type CacheEvent struct {
	At      time.Time `json:"-"`
	Number  uint64    `json:"number"`
	Block   uint64    `json:"block"`
	Evicted bool      `json:"evicted"`
}

// EngineLoad is the occupancy of an engine.
type EngineLoad struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	Slots        int `json:"slots"`
	CachedBlocks int `json:"cached_blocks"`
	CacheBlocks  int `json:"cache_blocks"`
}

type sequence struct {
	EngineRequest
	arrival uint64
	// prefillLeft counts prompt tokens still to process in this run.
	prefillLeft  int
	cachedTokens int
	emitted      int
	// yields is set when the step in progress ends with a token of the sequence.
	yields bool
}

// EngineModel is the scheduling of a model engine as a state machine. Time is a
// parameter and must not decrease between calls. It is not safe for concurrent use.
type EngineModel struct {
	opts     EngineModelOptions
	factor   float64
	arrivals uint64
	// waiting is ordered by priority, then arrival.
	waiting []*sequence
	running []*sequence
	byID    map[uint64]*sequence
	stepEnd time.Time
	inStep  bool
	events  []EngineEvent

	cache       *simplelru.LRU[uint64, struct{}]
	cacheNumber uint64
	cacheEvents []CacheEvent
}

// NewEngineModel returns an idle engine with an empty cache.
func NewEngineModel(opts EngineModelOptions) *EngineModel {
	opts.Slots = cmp.Or(opts.Slots, DefaultSlots)
	opts.WaitingLimit = cmp.Or(opts.WaitingLimit, DefaultWaitingLimit)
	opts.StepBase = cmp.Or(opts.StepBase, DefaultStepBase)
	opts.StepPerSequence = cmp.Or(opts.StepPerSequence, DefaultStepPerSequence)
	opts.PrefillRate = cmp.Or(opts.PrefillRate, DefaultPrefillRate)
	opts.PrefillChunk = cmp.Or(opts.PrefillChunk, DefaultPrefillChunk)
	opts.CacheBlocks = cmp.Or(opts.CacheBlocks, DefaultCacheBlocks)
	cache, err := simplelru.NewLRU[uint64, struct{}](opts.CacheBlocks, nil)
	if err != nil {
		panic("standin: negative CacheBlocks")
	}
	return &EngineModel{opts: opts, factor: 1, byID: make(map[uint64]*sequence), cache: cache}
}

// Add puts a sequence into the engine. It returns ErrEngineFull when as many
// sequences wait as the limit allows.
func (m *EngineModel) Add(now time.Time, r EngineRequest) error {
	m.run(now)
	if _, ok := m.byID[r.ID]; ok {
		return ErrDuplicateRequest
	}
	if len(m.waiting) >= m.opts.WaitingLimit {
		return ErrEngineFull
	}
	m.arrivals++
	s := &sequence{EngineRequest: r, arrival: m.arrivals}
	s.Tokens = max(s.Tokens, 1)
	m.byID[r.ID] = s
	m.enqueue(s)
	if !m.inStep {
		m.startStep(now)
	}
	return nil
}

// Cancel removes a sequence, frees its slot at the end of the step in progress,
// and reports whether the sequence was in the engine.
func (m *EngineModel) Cancel(now time.Time, id uint64) bool {
	m.run(now)
	s, ok := m.byID[id]
	if !ok {
		return false
	}
	m.remove(s)
	return true
}

// Advance runs the engine until now and returns what happened since the last
// call, in order of time.
func (m *EngineModel) Advance(now time.Time) []EngineEvent {
	m.run(now)
	events := m.events
	m.events = nil
	return events
}

// NextEvent returns when Advance has to be called next. It is the zero time
// while the engine is idle.
func (m *EngineModel) NextEvent(now time.Time) time.Time {
	if len(m.events) > 0 {
		return now
	}
	if m.inStep {
		return m.stepEnd
	}
	return time.Time{}
}

// SetFactor multiplies the duration of the steps that start from now on.
func (m *EngineModel) SetFactor(now time.Time, factor float64) {
	m.run(now)
	m.factor = max(factor, minSlowFactor)
}

// Reset drops all sequences and the cache, as a crash does. No events are
// reported for what is dropped.
func (m *EngineModel) Reset() {
	m.waiting, m.running, m.events = nil, nil, nil
	clear(m.byID)
	m.inStep = false
	m.cache.Purge()
	m.cacheEvents = nil
}

// Load returns the current occupancy.
func (m *EngineModel) Load() EngineLoad {
	return EngineLoad{
		Running:      len(m.running),
		Waiting:      len(m.waiting),
		Slots:        m.opts.Slots,
		CachedBlocks: m.cache.Len(),
		CacheBlocks:  m.opts.CacheBlocks,
	}
}

// TakeCacheEvents returns the cache events since the last call.
func (m *EngineModel) TakeCacheEvents() []CacheEvent {
	events := m.cacheEvents
	m.cacheEvents = nil
	return events
}

// run completes all steps that end by now.
func (m *EngineModel) run(now time.Time) {
	for m.inStep && !m.stepEnd.After(now) {
		at := m.stepEnd
		m.finishStep(at)
		m.startStep(at)
	}
}

func (m *EngineModel) startStep(at time.Time) {
	m.admit(at)
	m.inStep = len(m.running) > 0
	if !m.inStep {
		return
	}
	decoding, prompt := 0, 0
	for _, s := range m.running {
		if s.prefillLeft == 0 {
			s.yields = true
			decoding++
			continue
		}
		take := min(s.prefillLeft, m.opts.PrefillChunk-prompt)
		s.prefillLeft -= take
		s.yields = s.prefillLeft == 0
		prompt += take
	}
	duration := m.opts.StepBase
	duration += time.Duration(decoding) * m.opts.StepPerSequence
	duration += time.Duration(prompt) * time.Second / time.Duration(m.opts.PrefillRate)
	m.stepEnd = at.Add(time.Duration(float64(duration) * m.factor))
}

func (m *EngineModel) finishStep(at time.Time) {
	for _, s := range slices.Clone(m.running) {
		if !s.yields {
			continue
		}
		s.yields = false
		if s.emitted == 0 {
			m.store(at, s.Blocks)
		}
		m.emit(at, s, EventToken)
		s.emitted++
		if s.emitted == s.Tokens {
			m.emit(at, s, EventDone)
			m.remove(s)
		}
	}
}

func (m *EngineModel) emit(at time.Time, s *sequence, kind EngineEventKind) {
	m.events = append(m.events, EngineEvent{
		At:           at,
		ID:           s.ID,
		Kind:         kind,
		Index:        s.First + s.emitted,
		CachedTokens: s.cachedTokens,
	})
}

// admit fills free slots from the waiting list, and with Preempt also slots of
// less urgent sequences.
func (m *EngineModel) admit(at time.Time) {
	for len(m.waiting) > 0 {
		s := m.waiting[0]
		if len(m.running) >= m.opts.Slots {
			last := m.running[len(m.running)-1]
			if !m.opts.Preempt || last.Priority <= s.Priority {
				return
			}
			m.running = m.running[:len(m.running)-1]
			m.emit(at, last, EventPreempted)
			m.enqueue(last)
		}
		m.waiting = m.waiting[1:]
		s.cachedTokens = m.cachedPrefix(s.Blocks) * CacheBlockTokens
		s.prefillLeft = max(s.PromptTokens+s.emitted-s.cachedTokens, 1)
		m.running = insertOrdered(m.running, s)
	}
}

func (m *EngineModel) enqueue(s *sequence) {
	m.waiting = insertOrdered(m.waiting, s)
}

// remove forgets a sequence wherever it is.
func (m *EngineModel) remove(s *sequence) {
	same := func(x *sequence) bool { return x == s }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	delete(m.byID, s.ID)
}

// insertOrdered keeps sequences ordered by priority, then arrival.
func insertOrdered(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return slices.Insert(list, i, s)
}

// cachedPrefix counts the leading blocks that are in the cache and marks them
// as used.
func (m *EngineModel) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := m.cache.Get(block); !ok {
			return i
		}
	}
	return len(blocks)
}

// store caches blocks, last block first, so that the start of a prefix is the
// last of it to be evicted.
func (m *EngineModel) store(at time.Time, blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		if m.cache.Contains(block) {
			m.cache.Get(block)
			continue
		}
		if m.cache.Len() >= m.opts.CacheBlocks {
			oldest, _, _ := m.cache.RemoveOldest()
			m.recordCache(at, oldest, true)
		}
		m.cache.Add(block, struct{}{})
		m.recordCache(at, block, false)
	}
}

func (m *EngineModel) recordCache(at time.Time, block uint64, evicted bool) {
	m.cacheNumber++
	if len(m.cacheEvents) >= cacheEventLimit {
		m.cacheEvents = slices.Clone(m.cacheEvents[cacheEventLimit/2:])
	}
	m.cacheEvents = append(m.cacheEvents, CacheEvent{At: at, Number: m.cacheNumber, Block: block, Evicted: evicted})
}
