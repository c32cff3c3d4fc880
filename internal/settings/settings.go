// Package settings holds the static settings of one router. They are read once
// at start from a file of JSON with comments, and all problems are reported
// together.
package settings

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Settings are the static settings of one router.
type Settings struct {
	VM        VM         `json:"vm"`
	Listen    Listen     `json:"listen"`
	Advertise Advertise  `json:"advertise"`
	Platform  Platform   `json:"platform"`
	Operators []Operator `json:"operators" validate:"dive"`
	PeerTLS   PeerTLS    `json:"peer_tls"`
	CallerTLS CallerTLS  `json:"caller_tls"`
	Limits    Limits     `json:"limits"`
	Routing   Routing    `json:"routing"`
	Log       Log        `json:"log"`
}

// VM identifies the VM that this router runs on.
type VM struct {
	// ID is unique among the VMs of the deployment.
	ID string `json:"id" validate:"required,max=64"`
	// FailureDomain is the failure domain that the VM is in.
	FailureDomain string `json:"failure_domain" validate:"required,max=64"`
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	// Caller is the address for callers.
	Caller string `json:"caller" validate:"required,hostname_port"`
	// Peer is the address for other routers, over gRPC.
	Peer string `json:"peer" validate:"required,hostname_port"`
	// Admin is the address for operators, metrics and health checks.
	Admin string `json:"admin" validate:"required,hostname_port"`
}

// Advertise holds the addresses that callers and other routers connect to, as
// IP:port. An empty one means the address that the router listens on.
type Advertise struct {
	Caller string `json:"caller" validate:"omitempty,hostname_port"`
	Peer   string `json:"peer" validate:"omitempty,hostname_port"`
}

// Platform sets the location of the platform's services.
type Platform struct {
	// URL is the base URL of the table service, object store, weight store and
	// membership list.
	URL string `json:"url" validate:"required,url"`
}

// Operator is one person or program that may file tickets.
type Operator struct {
	Name string `json:"name" validate:"required,max=64"`
	// KeyHash is the hexadecimal SHA-256 of the operator's key.
	KeyHash string `json:"key_hash" validate:"len=64,hexadecimal"`
}

// PeerTLS sets mutual authentication between routers. Either all fields are set
// or none; with none, the peer port may listen on loopback only.
type PeerTLS struct {
	CertFile string `json:"cert_file" validate:"required_with=KeyFile CAFile"`
	KeyFile  string `json:"key_file" validate:"required_with=CertFile CAFile"`
	CAFile   string `json:"ca_file" validate:"required_with=CertFile KeyFile"`
}

// CallerTLS sets TLS for connections of callers. Either both fields are set or
// none.
type CallerTLS struct {
	CertFile string `json:"cert_file" validate:"required_with=KeyFile"`
	KeyFile  string `json:"key_file" validate:"required_with=CertFile"`
}

// Limits bounds the size, number and duration of requests from untrusted callers.
type Limits struct {
	// MaxHeaderBytes bounds the request header. Default 32768.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxBodyBytes bounds the request body. Default 8388608.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=1024,max=268435456"`
	// MaxJSONDepth bounds the nesting of a JSON body. Default 32.
	MaxJSONDepth int `json:"max_json_depth" validate:"min=4,max=1000"`
	// MaxOpenRequests bounds the requests in progress. Default 4096.
	MaxOpenRequests int `json:"max_open_requests" validate:"min=1,max=1000000"`
	// ClientMemoryBytes bounds the memory for the headers and bodies of all requests together, and for
	// the responses that are held until they are complete. Default 268435456.
	ClientMemoryBytes int64 `json:"client_memory_bytes" validate:"min=1048576,max=1099511627776"`
	// MaxConnections bounds callers' connections. Idle ones are closed first. Default 8192.
	MaxConnections int `json:"max_connections" validate:"min=8,max=1000000"`
	// IdleTimeout is the time after which a connection without a request is closed. Default 5m.
	IdleTimeout Duration `json:"idle_timeout" validate:"min=1000000000,max=3600000000000"`
	// HeaderTimeout bounds the time to read a header. Default 5s.
	HeaderTimeout Duration `json:"header_timeout" validate:"min=100000000,max=60000000000"`
	// BodyTimeout bounds the time to read a body. Default 30s.
	BodyTimeout Duration `json:"body_timeout" validate:"min=100000000,max=600000000000"`
	// WriteTimeout bounds one write to a slow reader. Default 20s.
	WriteTimeout Duration `json:"write_timeout" validate:"min=100000000,max=600000000000"`
	// RequestTimeout bounds a whole request. Default 10m.
	RequestTimeout Duration `json:"request_timeout" validate:"min=1000000000,max=3600000000000"`
	// DrainTimeout bounds a graceful shutdown. Default 10m.
	DrainTimeout Duration `json:"drain_timeout" validate:"min=1000000000,max=3600000000000"`
}

// Routing sets the routing policy.
type Routing struct {
	// PieceTokens is the size of a cached prompt piece in tokens. Default 2048.
	PieceTokens int `json:"piece_tokens" validate:"min=16,max=65536"`
	// DefaultOutputTokens is the output reserved for a request that declares no
	// maximum. Default 1024.
	DefaultOutputTokens int `json:"default_output_tokens" validate:"min=1,max=1048576"`
	// ImportTokensPerSecond is the rate at which an engine imports prompt tokens
	// from the KV cache store. Default 0: there is no store.
	ImportTokensPerSecond float64 `json:"import_tokens_per_second" validate:"min=0"`
	// ContentSalt salts the digests by which VMs identify the contents that may
	// crash backend servers. It must be the same on all VMs. Default empty.
	ContentSalt string `json:"content_salt" validate:"max=128"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Duration is a time span, written as a string such as "1.5s" in settings.
type Duration time.Duration

// UnmarshalJSON reads the string form.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.New(`a duration is a string such as "5s"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf(`%q is not a duration such as "5s"`, s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the string form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.Std().String())
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Default returns the settings that apply where a file sets nothing.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxHeaderBytes:    32 << 10,
			MaxBodyBytes:      8 << 20,
			MaxJSONDepth:      32,
			MaxOpenRequests:   4096,
			ClientMemoryBytes: 256 << 20,
			MaxConnections:    8192,
			IdleTimeout:       Duration(5 * time.Minute),
			HeaderTimeout:     Duration(5 * time.Second),
			BodyTimeout:       Duration(30 * time.Second),
			WriteTimeout:      Duration(20 * time.Second),
			RequestTimeout:    Duration(10 * time.Minute),
			DrainTimeout:      Duration(10 * time.Minute),
		},
		Routing: Routing{PieceTokens: 2048, DefaultOutputTokens: 1024},
		Log:     Log{Level: "info"},
	}
}
