// Package settings reads and checks the JSON settings file of a process. The Go types
// are the only definition of the format: the JSON Schema, the defaults and the
// reference page are generated from them. Unknown and duplicate fields are refused.
// A check reports all faults at once, each with the field, its value and the accepted
// values.
package settings

import "time"

// Role is the kind of process that a settings file configures.
type Role string

const (
	// RoleRouter is the daemon on the VMs that accept requests from callers.
	RoleRouter Role = "router"
	// RoleAgent is the daemon that runs beside an endpoint.
	RoleAgent Role = "agent"
)

// Process contains the fields that both roles share. The fields of all types here are
// documented by their description tags, which become part of the JSON Schema.
type Process struct {
	Name             string     `json:"name" jsonschema:"minLength=1,maxLength=63,pattern=^[a-z0-9][a-z0-9-]*$" jsonschema_description:"Name of this process in reports and log lines. Lower-case letters, digits and hyphens."`
	Region           string     `json:"region" jsonschema:"minLength=1,maxLength=63,pattern=^[a-z0-9][a-z0-9-]*$" jsonschema_description:"Region of the VM."`
	AvailabilityZone string     `json:"availability_zone" jsonschema:"minLength=1,maxLength=63,pattern=^[a-z0-9][a-z0-9-]*$" jsonschema_description:"Availability zone of the VM. Routers prefer endpoints in their own."`
	Log              Log        `json:"log,omitzero" jsonschema_description:"Log output on standard error."`
	Platform         Platform   `json:"platform" jsonschema_description:"Addresses of the platform services."`
	TLS              *TLS       `json:"tls,omitempty" jsonschema_description:"Mutual TLS between processes. Without it the traffic is not encrypted and the process reports this at startup."`
	Operators        []Operator `json:"operators,omitempty" jsonschema:"maxItems=256" jsonschema_description:"Operators of the admin API. Without any, only health, readiness and metrics are served."`
}

// Router is the content of the settings file of a router.
type Router struct {
	Role Role `json:"role" jsonschema:"enum=router" jsonschema_description:"Kind of process."`
	Process
	Listen RouterListen `json:"listen" jsonschema_description:"Listening addresses. Port 0 lets the kernel choose."`
	Limits Limits       `json:"limits,omitzero" jsonschema_description:"Bounds of this router."`
	Agents []string     `json:"agents,omitempty" jsonschema:"maxItems=1024,uniqueItems=true,format=ip-port" jsonschema_description:"Peer addresses of agents, used while the VM list cannot be read."`
}

// Agent is the content of the settings file of an agent.
type Agent struct {
	Role Role `json:"role" jsonschema:"enum=agent" jsonschema_description:"Kind of process."`
	Process
	Listen         AgentListen `json:"listen" jsonschema_description:"Listening addresses. Port 0 lets the kernel choose."`
	Endpoint       Endpoint    `json:"endpoint" jsonschema_description:"The model engine or plain service beside this agent."`
	Queue          Queue       `json:"queue,omitzero" jsonschema_description:"Bounds of the waiting work."`
	Concurrency    Concurrency `json:"concurrency,omitzero" jsonschema_description:"Bounds of the learned concurrency limit; min must not exceed initial, and initial must not exceed max."`
	DrainTimeoutMS int         `json:"drain_timeout_ms,omitempty" jsonschema:"minimum=1000,maximum=3600000,default=660000" jsonschema_description:"Longest wait for requests in progress at shutdown. The default exceeds the longest run of a profile without limits (10 min)." jsonschema_extras:"x-unit=milliseconds"`
}

// DrainTimeout returns the longest wait for requests in progress at shutdown.
func (a Agent) DrainTimeout() time.Duration {
	return milliseconds(a.DrainTimeoutMS)
}

// Log configures the log output.
type Log struct {
	Level  string `json:"level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info" jsonschema_description:"Lowest level that is written."`
	Format string `json:"format,omitempty" jsonschema:"enum=json,enum=console,default=json" jsonschema_description:"One JSON object per line, or text for a terminal."`
}

// RouterListen contains the addresses on which a router accepts connections.
type RouterListen struct {
	Callers string `json:"callers" jsonschema:"format=ip-port" jsonschema_description:"Listener of the caller API."`
	Peers   string `json:"peers" jsonschema:"format=ip-port" jsonschema_description:"Listener for other processes of the system."`
	Admin   string `json:"admin" jsonschema:"format=ip-port" jsonschema_description:"Listener of the admin API, health, readiness and metrics."`
}

// AgentListen contains the addresses on which an agent accepts connections.
type AgentListen struct {
	Peers string `json:"peers" jsonschema:"format=ip-port" jsonschema_description:"Listener for routers and other agents."`
	Admin string `json:"admin" jsonschema:"format=ip-port" jsonschema_description:"Listener of the admin API, health, readiness and metrics."`
}

// Platform contains the URLs of the platform services.
type Platform struct {
	TableURL   string `json:"table_url" jsonschema:"format=http-url" jsonschema_description:"Base URL of the transactional table service."`
	ObjectsURL string `json:"objects_url,omitempty" jsonschema:"format=http-url" jsonschema_description:"Base URL of the object store. Required for agents, which keep large recorded responses there."`
	VMListURL  string `json:"vm_list_url,omitempty" jsonschema:"format=http-url" jsonschema_description:"URL of the VM list. A router needs this or agents."`
	WeightsURL string `json:"weights_url,omitempty" jsonschema:"format=http-url" jsonschema_description:"Base URL of the weight store."`
}

// TLS contains the paths of the PEM files for mutual TLS between processes. The files
// are reloaded when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file" jsonschema:"minLength=1" jsonschema_description:"Path of this process's certificate chain in PEM."`
	KeyFile         string `json:"key_file" jsonschema:"minLength=1" jsonschema_description:"Path of the certificate's private key in PEM."`
	CAFile          string `json:"ca_file" jsonschema:"minLength=1" jsonschema_description:"Path of the certificates that sign the peers' certificates, in PEM."`
}

// Operator is a person or program that may use the admin API.
type Operator struct {
	Name    string `json:"name" jsonschema:"minLength=1,maxLength=63,pattern=^[a-z0-9][a-z0-9-]*$" jsonschema_description:"Name recorded with each change of the catalog; unique."`
	KeyHash string `json:"key_hash" jsonschema:"pattern=^[0-9a-f]{64}$" jsonschema_description:"SHA-256 hash of the operator's key in lower-case hexadecimal."`
}

// Limits bounds the requests in progress at a router.
type Limits struct {
	MaxOpenRequests int `json:"max_open_requests,omitempty" jsonschema:"minimum=1,maximum=65536,default=2000" jsonschema_description:"Requests open at the same time; further ones are refused with code 2008." jsonschema_extras:"x-unit=requests"`
	MaxBodyBytes    int `json:"max_body_bytes,omitempty" jsonschema:"minimum=1024,maximum=4194304,default=4194304" jsonschema_description:"Largest request body. The maximum fits into one frame between processes." jsonschema_extras:"x-unit=bytes"`
	BodyTimeoutMS   int `json:"body_timeout_ms,omitempty" jsonschema:"minimum=100,maximum=60000,default=10000" jsonschema_description:"Time within which a request body must arrive." jsonschema_extras:"x-unit=milliseconds"`
	DrainTimeoutMS  int `json:"drain_timeout_ms,omitempty" jsonschema:"minimum=1000,maximum=3600000,default=660000" jsonschema_description:"Longest wait for requests in progress at shutdown. The default exceeds the longest run of a profile without limits (10 min)." jsonschema_extras:"x-unit=milliseconds"`
}

// BodyTimeout returns the time within which a request body must arrive.
func (l Limits) BodyTimeout() time.Duration { return milliseconds(l.BodyTimeoutMS) }

// DrainTimeout returns the longest wait for requests in progress at shutdown.
func (l Limits) DrainTimeout() time.Duration { return milliseconds(l.DrainTimeoutMS) }

// Endpoint kinds.
const (
	// KindEngine is a model engine with an OpenAI-compatible API.
	KindEngine = "engine"
	// KindService is a plain HTTP service.
	KindService = "service"
)

// Endpoint describes the model engine or plain service beside an agent.
type Endpoint struct {
	Kind                     string   `json:"kind" jsonschema:"enum=engine,enum=service" jsonschema_description:"Model engine with an OpenAI-compatible API, or plain HTTP service."`
	URL                      string   `json:"url" jsonschema:"format=http-url" jsonschema_description:"Base URL of the endpoint."`
	Service                  string   `json:"service,omitempty" jsonschema:"maxLength=64,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$" jsonschema_description:"Name of the service in the catalog. Required for kind service, not allowed for kind engine."`
	Models                   []string `json:"models,omitempty" jsonschema:"maxItems=64,uniqueItems=true,minLength=1,maxLength=128" jsonschema_description:"Models that the engine serves, as name or name:version. Required for kind engine, not allowed for kind service."`
	RefusesOldFencingNumbers bool     `json:"refuses_old_fencing_numbers,omitempty" jsonschema:"default=false" jsonschema_description:"True when the endpoint itself refuses orders with an old fencing number."`
}

// Queue bounds the requests that wait at an agent.
type Queue struct {
	MaxItems           int `json:"max_items,omitempty" jsonschema:"minimum=1,maximum=65536,default=512" jsonschema_description:"Requests waiting in total." jsonschema_extras:"x-unit=requests"`
	MaxItemsPerAccount int `json:"max_items_per_account,omitempty" jsonschema:"minimum=1,maximum=65536,default=64" jsonschema_description:"Requests waiting for one client account and tier; at most max_items." jsonschema_extras:"x-unit=requests"`
}

// Concurrency bounds the concurrency limit of the endpoint, which the agent adapts to
// the load that the endpoint can take.
type Concurrency struct {
	Initial int `json:"initial,omitempty" jsonschema:"minimum=1,maximum=4096,default=8" jsonschema_description:"Limit at startup." jsonschema_extras:"x-unit=requests"`
	Min     int `json:"min,omitempty" jsonschema:"minimum=1,maximum=4096,default=1" jsonschema_description:"Lowest limit." jsonschema_extras:"x-unit=requests"`
	Max     int `json:"max,omitempty" jsonschema:"minimum=1,maximum=4096,default=256" jsonschema_description:"Highest limit." jsonschema_extras:"x-unit=requests"`
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
