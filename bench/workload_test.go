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

// Priorities of requests.
const (
	priorityInteractive = 0
	priorityReview      = 2
)

// requestKind describes one kind of session in a deployment's workload.
type requestKind struct {
	share    float64 // fraction of all sessions
	priority int
	// document, history and question are mean sizes in tokens. The prompt of a
	// request without a document is the account's template and a short question.
	document, history, question int
	output                      int
	turns                       float64 // mean number of requests in a session
	service                     bool    // calls to a plain service instead of a model
}

// deployment is the size and the workload of one organisation.
type deployment struct {
	name     string
	vms      int
	engines  int
	sessions float64 // new sessions per second, all accounts
	shares   []float64
	// documents is the number of documents of each account.
	documents int
	template  int // size in tokens of the prefix that all prompts of an account share
	kinds     []requestKind
}

var deployments = []deployment{
	{
		name: "rebobinage", vms: 6, engines: 20, sessions: 16,
		shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, documents: 24, template: 2500,
		kinds: []requestKind{
			{share: 0.45, document: 16000, history: 5000, question: 350, output: 220, turns: 2.5},
			{share: 0.35, question: 300, output: 30, turns: 1},
			{share: 0.20, service: true, turns: 1},
		},
	},
	{
		name: "lakeshore", vms: 8, engines: 20, sessions: 15,
		shares: []float64{0.45, 0.25, 0.15, 0.1, 0.05}, documents: 40, template: 4500,
		kinds: []requestKind{
			{share: 0.25, priority: priorityReview, document: 24000, history: 9000, question: 500, output: 350, turns: 1.5},
			{share: 0.40, document: 12000, history: 3000, question: 200, output: 80, turns: 2},
			{share: 0.35, service: true, turns: 1},
		},
	},
}

// call is one request of a caller.
type call struct {
	account        int
	vm             int
	priority       int
	service        bool
	chain          []prefix.Hash
	promptTokens   int
	outputTokens   int
	arrived        time.Duration
	gotFirstToken  bool // the caller has received the first token
	retried        bool
	fairShareDelay time.Duration // added to the deadline so that accounts within their rates go first
	release        func()        // releases the call's tokens in its VM's queue
}

// class returns the priority class of a model request.
func (c *call) class() config.Class {
	if c.priority == priorityReview {
		return config.Review
	}
	return config.Interactive
}

// capacity returns the maximum number of tokens that one VM has in flight: the
// total size of the engines' caches. A fixed fraction of it for each VM would
// throttle the home VM of a large account while engines are idle.
func (d *deployment) capacity() float64 {
	return float64(d.engines * cacheBlocks * blockTokens)
}

func accountID(a int) account.ID { return account.ID(fmt.Sprint("account-", a)) }

const (
	seconds = time.Second
	runTime = 300 * seconds
	warmUp  = 100 * seconds
	faultAt = 180 * seconds
	// thinkTime scales the time between two requests of a session, which is half
	// of thinkTime plus an exponentially distributed time with this mean.
	thinkTime = 8 * seconds
	// homeVMShare is the fraction of sessions that use their account's home VM;
	// the others use a random VM.
	homeVMShare = 0.75
	// rateHeadroom is the ratio of an account's contracted rate to its mean use.
	rateHeadroom  = 1.6
	burstSeconds  = 30
	floodFactor   = 5
	floodAccount  = 1
	serviceTokens = 50
)

// workload generates calls. They depend only on the seed and the fault, so that
// all policies get the same calls.
type workload struct {
	deployment *deployment
	rng        *rand.Rand
	scopes     []prefix.Scope
	partSizes  map[string]int
	fault      string
	emit       func(at time.Duration, c *call)
	sessions   int
}

func newWorkload(d *deployment, fault string, seed int64, emit func(time.Duration, *call)) *workload {
	w := &workload{deployment: d, rng: rand.New(rand.NewSource(seed)), partSizes: map[string]int{}, fault: fault, emit: emit}
	for a := range d.shares {
		w.scopes = append(w.scopes, prefix.NewScope(accountID(a), "model", "1"))
	}
	return w
}

// generate emits all calls of a run.
func (w *workload) generate() {
	for a, share := range w.deployment.shares {
		rng := rand.New(rand.NewSource(w.rng.Int63()))
		for t := time.Duration(0); t < runTime; {
			rate := share * w.deployment.sessions
			flooding := w.fault == "flood" && a == floodAccount && t > faultAt
			if flooding {
				rate *= floodFactor * rateHeadroom
			}
			t += time.Duration(rng.ExpFloat64() / rate * float64(seconds))
			w.emitSession(rng, a, t)
		}
	}
}

func (w *workload) emitSession(rng *rand.Rand, a int, t time.Duration) {
	k := w.pickKind(rng)
	vm := a % w.deployment.vms
	if rng.Float64() >= homeVMShare {
		vm = rng.Intn(w.deployment.vms)
	}
	w.sessions++
	document := w.pickDocument(rng, a, t)
	b := &prompt{hash: w.scopes[a].Root()}
	b.add(fmt.Sprint("template", a), w.deployment.template)
	if k.document > 0 {
		b.add(document, w.partSize(rng, document, k.document))
		b.add(fmt.Sprint("history", w.sessions), randomSize(rng, k.history))
	}
	for turn := 0; ; turn++ {
		b.add(fmt.Sprint("question", w.sessions, ".", turn), randomSize(rng, max(1, k.question)))
		c := &call{account: a, vm: vm, priority: k.priority, service: k.service, promptTokens: b.tokens}
		c.chain = append([]prefix.Hash(nil), b.chain...)
		c.outputTokens = randomSize(rng, max(2, k.output))
		if k.service {
			c.promptTokens, c.outputTokens, c.chain = serviceTokens, 0, nil
		}
		w.emit(t, c)
		if rng.Float64() >= 1-1/k.turns {
			return
		}
		b.add(fmt.Sprint("answer", w.sessions, ".", turn), c.outputTokens)
		t += time.Duration((0.5 + rng.ExpFloat64()) * float64(thinkTime))
	}
}

func (w *workload) pickKind(rng *rand.Rand) *requestKind {
	x := rng.Float64()
	for i := range w.deployment.kinds {
		if x -= w.deployment.kinds[i].share; x < 0 {
			return &w.deployment.kinds[i]
		}
	}
	return &w.deployment.kinds[0]
}

// pickDocument draws a document with Zipf-distributed popularity: few documents
// get most requests.
func (w *workload) pickDocument(rng *rand.Rand, a int, t time.Duration) string {
	z := rand.NewZipf(rng, 1.3, 1, uint64(w.deployment.documents-1))
	n := int(z.Uint64())
	if w.fault == "hotshift" && t > faultAt {
		n += w.deployment.documents
	}
	return fmt.Sprint("document", a, ".", n)
}

// partSize returns the size of a shared prompt part. It is drawn at the first
// call for the part.
func (w *workload) partSize(rng *rand.Rand, name string, mean int) int {
	if w.partSizes[name] == 0 {
		w.partSizes[name] = randomSize(rng, mean)
	}
	return w.partSizes[name]
}

// randomSize draws a size between half and twice the mean, skewed to small
// sizes.
func randomSize(rng *rand.Rand, mean int) int {
	x := rng.Float64()
	return max(1, int(float64(mean)*(0.5+1.5*x*x)))
}

// prompt is a sequence of named parts, divided into blocks.
type prompt struct {
	hash   prefix.Hash
	chain  []prefix.Hash
	tokens int
}

// add appends a part. The hash of a block depends on the names and the lengths
// of the parts that it spans.
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
