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

	// minSlowFactor keeps the duration of a step above zero.
	minSlowFactor = 0.001
	// cacheEventLimit is the maximum number of cache events buffered for
	// TakeCacheEvents. At the limit the oldest half is dropped, which subscribers
	// see as a gap in the event numbers.
	cacheEventLimit = 8192
)

// ErrEngineFull means that as many sequences wait for a slot as WaitingLimit allows.
var ErrEngineFull = errors.New("standin: the engine's waiting list is full")

// ErrDuplicateRequest means that the engine already has a request with this ID.
var ErrDuplicateRequest = errors.New("standin: a request with this id is in the engine")

// EngineModelOptions set the capacity and speed of a simulated engine with
// continuous batching and chunked prefill. The engine works in steps. Each step
// generates one token for every running sequence whose prompt has been processed,
// and processes up to PrefillChunk prompt tokens of the others, the most urgent
// first. A step lasts
//
//	(StepBase + StepPerSequence*decoding + prompt tokens/PrefillRate) * slow factor
//
// so that the time between tokens grows with the batch and with long prompts.
// A sequence joins the batch at the next step boundary; its first token comes at
// the end of the step that finishes its prompt.
type EngineModelOptions struct {
	// Slots is the maximum number of sequences in the batch; zero means DefaultSlots.
	Slots int
	// WaitingLimit is the maximum number of sequences that wait for a slot; zero means
	// DefaultWaitingLimit.
	WaitingLimit int
	// StepBase is the duration of a step without any sequence; zero means DefaultStepBase.
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence; zero means DefaultStepPerSequence.
	StepPerSequence time.Duration
	// PrefillRate is in prompt tokens per second; zero means DefaultPrefillRate.
	PrefillRate int
	// PrefillChunk is the maximum number of prompt tokens processed in one step;
	// zero means DefaultPrefillChunk.
	PrefillChunk int
	// CacheBlocks is the capacity of the prefix cache in blocks of
	// CacheBlockTokens prompt tokens; zero means DefaultCacheBlocks. The least
	// recently used block is evicted.
	CacheBlocks int
	// Preempt lets a waiting sequence take the slot of a running one with a
	// higher priority number. The preempted sequence waits again, and its prompt
	// and the text generated so far are processed again when it resumes.
	Preempt bool
}

// EngineRequest is one sequence to generate.
type EngineRequest struct {
	ID uint64
	// Priority orders waiting sequences; a lower number is more urgent.
	Priority     int
	PromptTokens int
	// Blocks are the cumulative hashes of the prompt's complete cache blocks: each
	// covers the prompt up to the end of its block.
	Blocks []uint64
	// First is the index of the first token to generate; above zero when the
	// request continues a partial answer.
	First int
	// Tokens is the number of tokens to generate, at least 1.
	Tokens int
}

// EngineEventKind is the kind of an EngineEvent.
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
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
}

// CacheEvent reports that a block was added to the prefix cache or evicted from it.
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

// sequence is the scheduling state of one request.
type sequence struct {
	EngineRequest
	arrival uint64
	// prefillLeft is the number of tokens whose prefill is still to do before the
	// sequence generates; a preempted sequence is prefilled anew.
	prefillLeft  int
	cachedTokens int
	emitted      int
	// emitsToken is set when the step in progress ends with a token of the sequence.
	emitsToken bool
}

// EngineModel simulates the scheduler of a model engine as a state machine. Time
// is a parameter and must not decrease between calls. It is not safe for
// concurrent use.
type EngineModel struct {
	opts       EngineModelOptions
	slowFactor float64
	arrivals   uint64
	// waiting is ordered by priority, then arrival.
	waiting []*sequence
	running []*sequence
	byID    map[uint64]*sequence
	stepEnd time.Time
	inStep  bool
	events  []EngineEvent

	cache          *simplelru.LRU[uint64, struct{}]
	lastCacheEvent uint64
	cacheEvents    []CacheEvent
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
	return &EngineModel{opts: opts, slowFactor: 1, byID: make(map[uint64]*sequence), cache: cache}
}

// Add queues a sequence. It returns ErrEngineFull when as many sequences wait as
// WaitingLimit allows, and ErrDuplicateRequest for an ID that is in use.
func (m *EngineModel) Add(now time.Time, r EngineRequest) error {
	m.completeSteps(now)
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
	m.completeSteps(now)
	s, ok := m.byID[id]
	if !ok {
		return false
	}
	m.remove(s)
	return true
}

// Advance runs the engine until now and returns the events since the last call,
// in chronological order.
func (m *EngineModel) Advance(now time.Time) []EngineEvent {
	m.completeSteps(now)
	events := m.events
	m.events = nil
	return events
}

// NextEvent returns the time at which Advance must be called next. It is the zero
// time while the engine is idle.
func (m *EngineModel) NextEvent(now time.Time) time.Time {
	if len(m.events) > 0 {
		return now
	}
	if m.inStep {
		return m.stepEnd
	}
	return time.Time{}
}

// SetSlowFactor multiplies the duration of the steps that start from now on.
func (m *EngineModel) SetSlowFactor(now time.Time, factor float64) {
	m.completeSteps(now)
	m.slowFactor = max(factor, minSlowFactor)
}

// Reset drops all sequences and the cache, as a crash does, without reporting
// events for them.
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

// TakeCacheEvents returns and clears the cache events since the last call.
func (m *EngineModel) TakeCacheEvents() []CacheEvent {
	events := m.cacheEvents
	m.cacheEvents = nil
	return events
}

// completeSteps completes all steps that end by now.
func (m *EngineModel) completeSteps(now time.Time) {
	for m.inStep && !m.stepEnd.After(now) {
		at := m.stepEnd
		m.finishStep(at)
		m.startStep(at)
	}
}

func (m *EngineModel) startStep(at time.Time) {
	m.schedule(at)
	m.inStep = len(m.running) > 0
	if !m.inStep {
		return
	}
	decoding, prefillTokens := 0, 0
	for _, s := range m.running {
		if s.prefillLeft == 0 {
			s.emitsToken = true
			decoding++
			continue
		}
		chunk := min(s.prefillLeft, m.opts.PrefillChunk-prefillTokens)
		s.prefillLeft -= chunk
		s.emitsToken = s.prefillLeft == 0
		prefillTokens += chunk
	}
	duration := m.opts.StepBase
	duration += time.Duration(decoding) * m.opts.StepPerSequence
	duration += time.Duration(prefillTokens) * time.Second / time.Duration(m.opts.PrefillRate)
	m.stepEnd = at.Add(time.Duration(float64(duration) * m.slowFactor))
}

func (m *EngineModel) finishStep(at time.Time) {
	for _, s := range slices.Clone(m.running) {
		if !s.emitsToken {
			continue
		}
		s.emitsToken = false
		if s.emitted == 0 {
			m.cacheBlocks(at, s.Blocks)
		}
		m.appendEvent(at, s, EventToken)
		s.emitted++
		if s.emitted == s.Tokens {
			m.appendEvent(at, s, EventDone)
			m.remove(s)
		}
	}
}

func (m *EngineModel) appendEvent(at time.Time, s *sequence, kind EngineEventKind) {
	m.events = append(m.events, EngineEvent{
		At:           at,
		ID:           s.ID,
		Kind:         kind,
		Index:        s.First + s.emitted,
		CachedTokens: s.cachedTokens,
	})
}

// schedule moves waiting sequences into free slots and, with Preempt, into the
// slots of less urgent sequences.
func (m *EngineModel) schedule(at time.Time) {
	for len(m.waiting) > 0 {
		s := m.waiting[0]
		if len(m.running) >= m.opts.Slots {
			last := m.running[len(m.running)-1]
			if !m.opts.Preempt || last.Priority <= s.Priority {
				return
			}
			m.running = m.running[:len(m.running)-1]
			m.appendEvent(at, last, EventPreempted)
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

// remove removes a sequence whether it waits or runs.
func (m *EngineModel) remove(s *sequence) {
	same := func(x *sequence) bool { return x == s }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	delete(m.byID, s.ID)
}

// insertOrdered inserts a sequence into a list ordered by priority, then arrival.
func insertOrdered(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return slices.Insert(list, i, s)
}

// cachedPrefix returns the number of leading blocks that are in the cache and
// marks them as recently used.
func (m *EngineModel) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := m.cache.Get(block); !ok {
			return i
		}
	}
	return len(blocks)
}

// cacheBlocks adds blocks to the cache, last block first, so that of a prefix the
// first block is evicted last.
func (m *EngineModel) cacheBlocks(at time.Time, blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		if m.cache.Contains(block) {
			m.cache.Get(block)
			continue
		}
		if m.cache.Len() >= m.opts.CacheBlocks {
			oldest, _, _ := m.cache.RemoveOldest()
			m.recordCacheEvent(at, oldest, true)
		}
		m.cache.Add(block, struct{}{})
		m.recordCacheEvent(at, block, false)
	}
}

func (m *EngineModel) recordCacheEvent(at time.Time, block uint64, evicted bool) {
	m.lastCacheEvent++
	if len(m.cacheEvents) >= cacheEventLimit {
		m.cacheEvents = slices.Clone(m.cacheEvents[cacheEventLimit/2:])
	}
	m.cacheEvents = append(m.cacheEvents, CacheEvent{At: at, Number: m.lastCacheEvent, Block: block, Evicted: evicted})
}
