package gossip

import (
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/quota"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/saturation"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

// ServerLoad is the load that the sender puts on a backend server: the number of
// running requests, the backlog of prompt tokens, the rate of unshared tokens per
// second (Churn), and the tokens of the running requests (Memory).
type ServerLoad struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Running int        `json:"n"`
	Backlog int        `json:"b,omitempty"`
	Churn   int        `json:"c,omitempty"`
	Memory  int        `json:"m,omitempty"`
	// Silent is the time for which the server has not responded to the sender, in
	// milliseconds.
	Silent int64 `json:"q,omitempty"`
	// Full is the time for which the sender sends the server nothing because it was full, in
	// milliseconds.
	Full int64 `json:"f,omitempty"`
	// Gone is set if another server has answered the sender at the address of this one.
	Gone bool `json:"g,omitempty"`
}

// WeightsGoal is a target version of a model's weights as known to the sender. Age is
// the time since it was set.
type WeightsGoal struct {
	Model   string        `json:"m"`
	Version uint64        `json:"v"`
	Age     time.Duration `json:"a"`
}

// WeightsHeld is the version of a model's weights that a server has loaded, as known
// to the sender.
type WeightsHeld struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	Model   string     `json:"m"`
	Version uint64     `json:"v"`
}

// Member identifies a VM and holds its addresses.
type Member struct {
	ID            vm.ID  `json:"id"`
	FailureDomain string `json:"domain"`
	// Caller is the address for callers, host:port.
	Caller string `json:"caller"`
	// Peer is the address for digests and for fetching state, host:port.
	Peer string `json:"peer"`
	// Cores is the processor capacity of the VM, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// LeaseClaim describes the current term of the order lease, as stated by its holder.
type LeaseClaim struct {
	Fencing  uint64 `json:"f"`
	Renewals uint64 `json:"r"`
	// Remaining is the time for which the holder may still send orders; 0 if it resigned
	// the lease.
	Remaining time.Duration `json:"l"`
	// OrderAge is the time since the holder's last order; negative if there is none.
	OrderAge time.Duration `json:"o"`
	// Age is the time since the holder made the claim.
	Age time.Duration `json:"a"`
	// Resigned is set if the holder has given the term up and sends no order after this claim.
	Resigned bool `json:"res,omitempty"`
	// WriteAge is the time since the holder last wrote the lease's row, or tried to; 0 if it isn't known.
	WriteAge time.Duration `json:"w,omitempty"`
}

// Digest is the state that a VM sends to the other VMs of its domain.
type Digest struct {
	Member
	Incarnation vm.Incarnation `json:"inc"`
	// Sequence increases with each digest of a process.
	Sequence uint64        `json:"seq"`
	Uptime   time.Duration `json:"up"`
	Leaving  bool          `json:"leaving,omitempty"`
	Ready    bool          `json:"ready,omitempty"`
	// Calls is the rate of client requests that the sender receives, in requests per
	// second.
	Calls float64 `json:"calls,omitempty"`
	// Load is the load of the sender's processor; nil if it is small or not known.
	Load *saturation.Load `json:"cpu,omitempty"`
	// HoldsOrderLease is set if the sender holds the order lease, which is required to send
	// orders to engines.
	HoldsOrderLease bool `json:"giver,omitempty"`
	// Claim is the newest lease claim known to the sender.
	Claim *LeaseClaim `json:"claim,omitempty"`
	// Catalog is the version of the configuration in force.
	Catalog catalog.Version `json:"cat"`
	// Servers is the revision up to which the sender has every change of servers.
	Servers platform.Revision `json:"srv"`
	// EvidenceAge is the age of the evidence that there was no newer change of servers; 0
	// if there is no evidence.
	EvidenceAge time.Duration `json:"na,omitempty"`
	Goals       []WeightsGoal `json:"goals,omitempty"`
	Held        []WeightsHeld `json:"held,omitempty"`
	// Withheld are the server runs that must not be used although their rows in the store
	// say that they are ready.
	Withheld []fleet.UnusableRun `json:"left,omitempty"`
	// Limits are the rate limits that servers have stated.
	Limits []ratelimit.Notice `json:"lim,omitempty"`
	// Stranded is set if the sender reaches the servers only through other VMs.
	Stranded bool `json:"str,omitempty"`
	// Following is set if the sender reads the store's feeds and receives data from
	// them.
	Following bool `json:"fol,omitempty"`
	// FollowingFor is the time for which it has done so without a failure.
	FollowingFor time.Duration `json:"ff,omitempty"`
	// Reserved are the engines into which the holder of the order lease is loading
	// weights or is about to. They should get no new requests.
	Reserved []backend.ID               `json:"rsv,omitempty"`
	Usage    map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads    []ServerLoad               `json:"load,omitempty"`
	// Crashes is evidence on what crashes servers.
	Crashes *crashcause.Notices `json:"cause,omitempty"`
	// Origins are the software versions that began streams.
	Origins *origin.Notices `json:"org,omitempty"`
	// Rollouts are notices about roll-outs of server versions.
	Rollouts *delivery.Notices `json:"roll,omitempty"`
	// Placements are the prompts that the sender has recently placed on engines.
	Placements []selector.Placement `json:"place,omitempty"`
	// Kept are the prompts whose shared parts were recently saved to a store.
	Kept []selector.StoredParts `json:"kept,omitempty"`
}

// MemberState is the state of one VM in a summary.
type MemberState struct {
	Member
	Ready   bool    `json:"ready,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	Calls   float64 `json:"calls,omitempty"`
	// Load has the same meaning as in a Digest.
	Load *saturation.Load `json:"cpu,omitempty"`
	// Stranded has the same meaning as in a Digest.
	Stranded bool `json:"str,omitempty"`
}

// Summary is the state of a failure domain, sent by one of its relays to the other
// domains.
type Summary struct {
	// From is the relay.
	From        Member         `json:"from"`
	Incarnation vm.Incarnation `json:"inc"`
	Sequence    uint64         `json:"seq"`
	// Forwarded is set when a relay of another domain forwards the summary within that
	// domain, so that it isn't forwarded again.
	Forwarded bool `json:"fwd,omitempty"`
	// ToAll is set if it is forwarded to all VMs of that domain; its other relay then waits.
	ToAll   bool          `json:"all,omitempty"`
	Members []MemberState `json:"members"`
	// Uptime is the uptime of the domain's oldest process.
	Uptime time.Duration `json:"up"`
	// RelayUptime is the uptime of the relay's process; 0 if it is of an earlier build.
	RelayUptime time.Duration `json:"ru,omitempty"`
	// Delay is how much longer the summary took to arrive than the fastest ones of its relay.
	Delay time.Duration `json:"-"`
	// FollowingFor is the longest FollowingFor of the domain's VMs.
	FollowingFor    time.Duration     `json:"ff,omitempty"`
	HoldsOrderLease bool              `json:"giver,omitempty"`
	Claim           *LeaseClaim       `json:"claim,omitempty"`
	Catalog         catalog.Version   `json:"cat"`
	Servers         platform.Revision `json:"srv"`
	// EvidenceAge has the same meaning as in a Digest.
	EvidenceAge time.Duration              `json:"na,omitempty"`
	Goals       []WeightsGoal              `json:"goals,omitempty"`
	Held        []WeightsHeld              `json:"held,omitempty"`
	Withheld    []fleet.UnusableRun        `json:"left,omitempty"`
	Limits      []ratelimit.Notice         `json:"lim,omitempty"`
	Reserved    []backend.ID               `json:"rsv,omitempty"`
	Usage       map[account.ID]quota.Usage `json:"use,omitempty"`
	Loads       []ServerLoad               `json:"load,omitempty"`
	Crashes     *crashcause.Notices        `json:"cause,omitempty"`
	Origins     *origin.Notices            `json:"org,omitempty"`
	Rollouts    *delivery.Notices          `json:"roll,omitempty"`
	Placements  []selector.Placement       `json:"place,omitempty"`
	Kept        []selector.StoredParts     `json:"kept,omitempty"`
}

// message is the content of a datagram: either a digest or a summary.
type message struct {
	Digest  *Digest  `json:"d,omitempty"`
	Summary *Summary `json:"s,omitempty"`
}
