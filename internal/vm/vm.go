// Package vm models the virtual machines that run routers. Each VM runs one
// router process and has no disk.
package vm

// ID names a VM. It is unique among the VMs of one deployment.
type ID string

// Incarnation distinguishes processes with the same VM ID. It is a random number
// chosen at the start of the process.
type Incarnation uint64

// VM is one virtual machine that runs a router.
type VM struct {
	ID            ID          `json:"id"`
	Incarnation   Incarnation `json:"incarnation"`
	FailureDomain string      `json:"failure_domain"`
	// CallerAddress is where callers connect, host:port.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is where other routers connect, host:port.
	PeerAddress string `json:"peer_address"`
	// Cores is the CPU capacity of the VM in cores, or 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Leaving is set while the VM drains.
	Leaving bool `json:"leaving,omitempty"`
}
