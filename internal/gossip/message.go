package gossip

import (
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

// ServerLoad is the load that the sender puts on a backend server.
type ServerLoad struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Running int        `json:"n"`
	Backlog int        `json:"b,omitempty"`
	Churn   int        `json:"c,omitempty"`
	Memory  int        `json:"m,omitempty"`
	// Silent is for how long the server has not answered the sender, in
	// milliseconds.
	Silent int64 `json:"q,omitempty"`
}

// WeightsGoal is the version of a model that the sender knows to be named.
type WeightsGoal struct {
	Model   string        `json:"m"`
	Version uint64        `json:"v"`
	Age     time.Duration `json:"a"`
}

// WeightsHeld is the version of a model that the sender knows a server to hold.
type WeightsHeld struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Model   string     `json:"m"`
	Version uint64     `json:"v"`
}

// Member is how a VM is reached.
type Member struct {
	ID            vm.ID  `json:"id"`
	FailureDomain string `json:"domain"`
	// Caller is where callers connect, host:port.
	Caller string `json:"caller"`
	// Peer is where digests go and where states are fetched, host:port.
	Peer string `json:"peer"`
	// Cores is the processor that the VM has, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// LeaseClaim is what the holder of the lease for orders says of its term.
type LeaseClaim struct {
	Fencing  uint64 `json:"f"`
	Renewals uint64 `json:"r"`
	// Left is the time for which it may still give orders; 0 if it gave the lease
	// up.
	Left time.Duration `json:"l"`
	// OrderAge is the time since its last order; negative if it gave none.
	OrderAge time.Duration `json:"o"`
	// Age is the time since the holder said so.
	Age time.Duration `json:"a"`
}

// Digest is what a VM tells the others.
type Digest struct {
	Member
	Incarnation vm.Incarnation `json:"inc"`
	// Sequence grows with each digest of a process.
	Sequence uint64        `json:"seq"`
	Uptime   time.Duration `json:"up"`
	Leaving  bool          `json:"leaving,omitempty"`
	Ready    bool          `json:"ready,omitempty"`
	// Calls is the rate of calls that the sender gets, in calls a second.
	Calls float64 `json:"calls,omitempty"`
	// Giver is set if the sender holds the lease for orders to engines.
	Giver bool `json:"giver,omitempty"`
	// Claim is the last that the sender knows of a holder's term.
	Claim *LeaseClaim `json:"claim,omitempty"`
	// Catalog is the version of the configuration in force.
	Catalog catalog.Version `json:"cat"`
	// Servers is the revision of the newest change of servers known, none before it
	// being missing.
	Servers platform.Revision `json:"srv"`
	// NewsAge is the age of the evidence that no newer entry exists; 0 if there is
	// none.
	NewsAge time.Duration `json:"na,omitempty"`
	Goals   []WeightsGoal `json:"goals,omitempty"`
	Held    []WeightsHeld `json:"held,omitempty"`
	// Left are the runs of servers that are not to be used although their rows say that
	// they are ready.
	Left []fleet.Leave `json:"left,omitempty"`
	// Limits are the rates that servers say they take.
	Limits []ratelimit.Notice `json:"lim,omitempty"`
	// Following is set if the sender reads the store's feeds and hears from them.
	Following bool `json:"fol,omitempty"`
	// FollowingFor is for how long without a failure.
	FollowingFor time.Duration `json:"ff,omitempty"`
	// Reserved are the engines that the order giver is about to load or is
	// loading; they should get no new requests.
	Reserved []backend.ID               `json:"rsv,omitempty"`
	Usage    map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads    []ServerLoad               `json:"load,omitempty"`
	Crashes  map[string]int             `json:"crash,omitempty"`
	// Placements are the prompts that the sender placed lately.
	Placements []selector.Placement `json:"place,omitempty"`
	// Kept are the prompts whose parts the store has got lately.
	Kept []selector.Kept `json:"kept,omitempty"`
}

// MemberState is what a summary says of a VM.
type MemberState struct {
	Member
	Ready   bool    `json:"ready,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	Calls   float64 `json:"calls,omitempty"`
}

// Summary is what a relay tells the other failure domains of its own.
type Summary struct {
	// From is the relay.
	From        Member         `json:"from"`
	Incarnation vm.Incarnation `json:"inc"`
	Sequence    uint64         `json:"seq"`
	// Forwarded is set once a relay of another domain passes the summary on.
	Forwarded bool          `json:"fwd,omitempty"`
	Members   []MemberState `json:"members"`
	// Uptime is that of the domain's oldest process.
	Uptime time.Duration `json:"up"`
	// FollowingFor is for how long some VM of the domain has followed the store.
	FollowingFor time.Duration     `json:"ff,omitempty"`
	Giver        bool              `json:"giver,omitempty"`
	Claim        *LeaseClaim       `json:"claim,omitempty"`
	Catalog      catalog.Version   `json:"cat"`
	Servers      platform.Revision `json:"srv"`
	// NewsAge is as in a Digest.
	NewsAge    time.Duration              `json:"na,omitempty"`
	Goals      []WeightsGoal              `json:"goals,omitempty"`
	Held       []WeightsHeld              `json:"held,omitempty"`
	Left       []fleet.Leave              `json:"left,omitempty"`
	Limits     []ratelimit.Notice         `json:"lim,omitempty"`
	Reserved   []backend.ID               `json:"rsv,omitempty"`
	Usage      map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads      []ServerLoad               `json:"load,omitempty"`
	Crashes    map[string]int             `json:"crash,omitempty"`
	Placements []selector.Placement       `json:"place,omitempty"`
	Kept       []selector.Kept            `json:"kept,omitempty"`
}

// message is a datagram: one of the two.
type message struct {
	Digest  *Digest  `json:"d,omitempty"`
	Summary *Summary `json:"s,omitempty"`
}
