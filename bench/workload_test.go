package bench

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/prefix"
)

// Priority levels of the work.
const (
	priorityInteractive = 0
	priorityReview      = 2
)

// kind is one kind of work of a deployment.
type kind struct {
	share    float64 // of sessions
	priority int
	// document, history and question are mean sizes in tokens. A request
	// without a document is a short note on the account's template.
	document, history, question int
	output                      int
	turns                       float64 // mean requests of a session
	service                     bool    // a call of a plain service
}

// deployment is the work and the size of one organisation.
type deployment struct {
	name     string
	vms      int
	engines  int
	sessions float64 // a second, all accounts
	shares   []float64
	// documents is the number of documents for each account.
	documents int
	template  int // tokens that start each prompt of an account
	kinds     []kind
}

var deployments = []deployment{
	{
		name: "rebobinage", vms: 6, engines: 20, sessions: 16,
		shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, documents: 24, template: 2500,
		kinds: []kind{
			{share: 0.45, document: 16000, history: 5000, question: 350, output: 220, turns: 2.5},
			{share: 0.35, question: 300, output: 30, turns: 1},
			{share: 0.20, service: true, turns: 1},
		},
	},
	{
		name: "lakeshore", vms: 8, engines: 20, sessions: 15,
		shares: []float64{0.45, 0.25, 0.15, 0.1, 0.05}, documents: 40, template: 4500,
		kinds: []kind{
			{share: 0.25, priority: priorityReview, document: 24000, history: 9000, question: 500, output: 350, turns: 1.5},
			{share: 0.40, document: 12000, history: 3000, question: 200, output: 80, turns: 2},
			{share: 0.35, service: true, turns: 1},
		},
	},
}

// call is one request of a caller.
type call struct {
	account  int
	vm       int
	priority int
	service  bool
	chain    []prefix.Hash
	prompt   int
	output   int
	arrived  time.Duration
	answered bool // the first token arrived
	retried  bool
	delay    time.Duration // behind accounts that keep to their rates
	release  func()        // ends the call in its VM's queue
}

// class is the priority class of a model request.
func (c *call) class() config.Class {
	if c.priority == priorityReview {
		return config.Review
	}
	return config.Interactive
}

// capacity is how many tokens one VM has in flight at most: what the engines'
// caches hold. A fixed part of it for each VM would hold back the home VM of a
// large account while engines are idle.
func (d *deployment) capacity() float64 {
	return float64(d.engines * cacheBlocks * blockTokens)
}

func accountID(a int) account.ID { return account.ID(fmt.Sprint("account-", a)) }

const (
	seconds = time.Second
	runTime = 300 * seconds
	warmUp  = 100 * seconds
	faultAt = 180 * seconds
	// thinkTime is the mean time between two requests of a session.
	thinkTime = 8 * seconds
	// homeShare is the part of callers that use their account's home VM; the
	// others use any VM.
	homeShare = 0.75
	// rateHeadroom is an account's contract relative to its mean use.
	rateHeadroom  = 1.6
	burstSeconds  = 30
	floodFactor   = 5
	floodAccount  = 1
	serviceTokens = 50
)

// workload generates calls. It depends on the seed and the fault only, so that
// all policies get the same work.
type workload struct {
	d      *deployment
	rng    *rand.Rand
	scopes []prefix.Scope
	sizes  map[string]int
	fault  string
	emit   func(at time.Duration, c *call)
	serial int
}

func newWorkload(d *deployment, fault string, seed int64, emit func(time.Duration, *call)) *workload {
	w := &workload{d: d, rng: rand.New(rand.NewSource(seed)), sizes: map[string]int{}, fault: fault, emit: emit}
	for a := range d.shares {
		w.scopes = append(w.scopes, prefix.NewScope(accountID(a), "model", "1"))
	}
	return w
}

// generate emits all calls of a run.
func (w *workload) generate() {
	for a, share := range w.d.shares {
		rng := rand.New(rand.NewSource(w.rng.Int63()))
		for t := time.Duration(0); t < runTime; {
			rate := share * w.d.sessions
			flooding := w.fault == "flood" && a == floodAccount && t > faultAt
			if flooding {
				rate *= floodFactor * rateHeadroom
			}
			t += time.Duration(rng.ExpFloat64() / rate * float64(seconds))
			w.session(rng, a, t)
		}
	}
}

func (w *workload) session(rng *rand.Rand, a int, t time.Duration) {
	k := w.pickKind(rng)
	vm := a % w.d.vms
	if rng.Float64() >= homeShare {
		vm = rng.Intn(w.d.vms)
	}
	w.serial++
	document := w.pickDocument(rng, a, t)
	b := &prompt{hash: w.scopes[a].Root()}
	b.add(fmt.Sprint("template", a), w.d.template)
	if k.document > 0 {
		b.add(document, w.size(rng, document, k.document))
		b.add(fmt.Sprint("history", w.serial), spread(rng, k.history))
	}
	for turn := 0; ; turn++ {
		b.add(fmt.Sprint("question", w.serial, ".", turn), spread(rng, max(1, k.question)))
		c := &call{account: a, vm: vm, priority: k.priority, service: k.service, prompt: b.tokens}
		c.chain = append([]prefix.Hash(nil), b.chain...)
		c.output = spread(rng, max(2, k.output))
		if k.service {
			c.prompt, c.output, c.chain = serviceTokens, 0, nil
		}
		w.emit(t, c)
		if rng.Float64() >= 1-1/k.turns {
			return
		}
		b.add(fmt.Sprint("answer", w.serial, ".", turn), c.output)
		t += time.Duration((0.5 + rng.ExpFloat64()) * float64(thinkTime))
	}
}

func (w *workload) pickKind(rng *rand.Rand) *kind {
	x := rng.Float64()
	for i := range w.d.kinds {
		if x -= w.d.kinds[i].share; x < 0 {
			return &w.d.kinds[i]
		}
	}
	return &w.d.kinds[0]
}

// pickDocument draws by Zipf's law: a few documents are very hot.
func (w *workload) pickDocument(rng *rand.Rand, a int, t time.Duration) string {
	z := rand.NewZipf(rng, 1.3, 1, uint64(w.d.documents-1))
	n := int(z.Uint64())
	if w.fault == "hotshift" && t > faultAt {
		n += w.d.documents
	}
	return fmt.Sprint("document", a, ".", n)
}

// size is the size of a shared part, drawn once.
func (w *workload) size(rng *rand.Rand, name string, mean int) int {
	if w.sizes[name] == 0 {
		w.sizes[name] = spread(rng, mean)
	}
	return w.sizes[name]
}

// spread draws a size between half and twice the mean, skewed to small.
func spread(rng *rand.Rand, mean int) int {
	x := rng.Float64()
	return max(1, int(float64(mean)*(0.5+1.5*x*x)))
}

// prompt is a text of named parts, cut into blocks.
type prompt struct {
	hash   prefix.Hash
	chain  []prefix.Hash
	tokens int
}

// add appends a part. A block's content is the parts and offsets that it spans.
func (p *prompt) add(part string, tokens int) {
	var offset [8]byte
	for tokens > 0 {
		n := min(tokens, blockTokens-p.tokens%blockTokens)
		binary.LittleEndian.PutUint64(offset[:], uint64(n))
		p.hash = prefix.Extend(p.hash, part+string(offset[:]))
		p.tokens += n
		tokens -= n
		if p.tokens%blockTokens == 0 {
			p.chain = append(p.chain, p.hash)
		}
	}
}
