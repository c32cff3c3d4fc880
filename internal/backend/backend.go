// Package backend models the backend servers: model engines and plain
// services.
package backend

// ID names a backend server.
type ID string

// Kind distinguishes model engines from plain services.
type Kind string

const (
	// Engine is a model engine with an OpenAI-compatible interface.
	Engine Kind = "engine"
	// Service is a plain HTTP service.
	Service Kind = "service"
)

// Incarnation identifies one run of an engine. An engine that restarts after a
// crash has a new incarnation and an empty cache.
type Incarnation string

// Server is one backend server as described by the operators' tickets.
type Server struct {
	ID            ID     `json:"id" validate:"required"`
	Kind          Kind   `json:"kind" validate:"oneof=engine service"`
	URL           string `json:"url" validate:"required,url"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Models are the models that an engine serves. Empty for services.
	Models []string `json:"models,omitempty"`
	// ChecksFencing is set if the server refuses orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving is set if the server must not receive new work.
	Leaving bool `json:"leaving,omitempty"`
}
