// Package design defines the administration API for operators in the Goa design
// language. The code in gen is generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the Goa design language is made for dot imports
)

var _ = API("papayaspan", func() {
	Title("papayaspan administration API")
	Description("Operators file tickets and read what became of them.")
	Server("papayaspand", func() {
		Host("loopback", func() { URI("http://127.0.0.1:8080") })
	})
})

// OperatorKey authenticates operators by a key. The settings contain the hash of
// each operator's key.
var OperatorKey = APIKeySecurity("operator_key", func() {
	Description("The operator's key in the X-Operator-Key header.")
})

var Contract = Type("Contract", func() {
	Description("What a client account may use, counted over all VMs together.")
	Attribute("rate", Float64, "Sustained rate in tokens a second.")
	Attribute("burst", Float64, "Capacity of the token bucket in tokens.")
	Attribute("weight", Float64, "Share under contention; 0 means 1.", func() { Default(0) })
	Required("rate", "burst")
})

var Account = Type("Account", func() {
	Description("A client account.")
	Attribute("id", String, "Account id.")
	Attribute("contract", Contract)
	Required("id", "contract")
})

var CallerKey = Type("Key", func() {
	Description("A caller's key. Only the hash of the secret is kept.")
	Attribute("id", String, "Key id; not the secret.")
	Attribute("account", String, "Client account that the key stands for.")
	Attribute("hash", String, "Hexadecimal SHA-256 of the secret.")
	Required("id", "account", "hash")
})

var Model = Type("Model", func() {
	Description("A model that callers may ask for.")
	Attribute("name", String)
	Attribute("weights_version", String, "Version that engines must run.")
	Attribute("replicas", Int, "Least number of engines to hold the model.", func() { Default(0) })
	Required("name", "weights_version")
})

var Route = Type("Route", func() {
	Description("A path prefix that leads to plain services.")
	Attribute("id", String)
	Attribute("path_prefix", String)
	Attribute("servers", ArrayOf(String), "Ids of backend servers.")
	Attribute("open", Boolean, "Needs no key.", func() { Default(false) })
	Attribute("idempotent", Boolean, "May be retried after it may have run.", func() { Default(false) })
	Attribute("require_idempotency_key", Boolean, "Refuse calls without an Idempotency-Key.", func() { Default(false) })
	Attribute("class", String, "lookup, booking, interactive or review.", func() { Default("") })
	Attribute("cost_tokens", Float64, "Cost of one call against the account's rate.", func() { Default(0) })
	Required("id", "path_prefix", "servers")
})

var BackendServer = Type("BackendServer", func() {
	Description("A model engine or plain service.")
	Attribute("id", String)
	Attribute("kind", String, "engine or service.")
	Attribute("url", String)
	Attribute("failure_domain", String)
	Attribute("models", ArrayOf(String), "Models that an engine serves.")
	Attribute("checks_fencing", Boolean, "Refuses orders with an old fencing number.", func() { Default(false) })
	Attribute("leaving", Boolean, "Must get no new work.", func() { Default(false) })
	Required("id", "kind", "url", "failure_domain")
})

var AccountChanges = Type("AccountChanges", func() {
	Description("Objects with their whole new state, and ids to remove.")
	Attribute("set", ArrayOf(Account))
	Attribute("remove", ArrayOf(String))
})

var KeyChanges = Type("KeyChanges", func() {
	Description("Objects with their whole new state, and ids to remove.")
	Attribute("set", ArrayOf(CallerKey))
	Attribute("remove", ArrayOf(String))
})

var ModelChanges = Type("ModelChanges", func() {
	Description("Objects with their whole new state, and ids to remove.")
	Attribute("set", ArrayOf(Model))
	Attribute("remove", ArrayOf(String))
})

var RouteChanges = Type("RouteChanges", func() {
	Description("Objects with their whole new state, and ids to remove.")
	Attribute("set", ArrayOf(Route))
	Attribute("remove", ArrayOf(String))
})

var ServerChanges = Type("ServerChanges", func() {
	Description("Objects with their whole new state, and ids to remove.")
	Attribute("set", ArrayOf(BackendServer))
	Attribute("remove", ArrayOf(String))
})

// ticketChanges adds the attributes that describe what a ticket changes, and why.
func ticketChanges() {
	Attribute("comment", String, "Why; kept in the history.", func() { Default("") })
	Attribute("accounts", AccountChanges)
	Attribute("keys", KeyChanges)
	Attribute("models", ModelChanges)
	Attribute("routes", RouteChanges)
	Attribute("servers", ServerChanges)
}

var Objects = Type("Objects", func() {
	Description("All objects of the configuration.")
	Attribute("accounts", ArrayOf(Account))
	Attribute("keys", ArrayOf(CallerKey))
	Attribute("models", ArrayOf(Model))
	Attribute("routes", ArrayOf(Route))
	Attribute("servers", ArrayOf(BackendServer))
})

var Problem = Type("Problem", func() {
	Description("One reason for which a ticket is refused.")
	Attribute("object", String, "Kind and id of the object; empty for the ticket.", func() { Default("") })
	Attribute("field", String, "Name of the field, if the reason concerns one.", func() { Default("") })
	Attribute("reason", String)
	Required("reason")
})

var Place = Type("Place", func() {
	Description("How far one VM is.")
	Attribute("vm", String)
	Attribute("failure_domain", String, func() { Default("") })
	Attribute("number", UInt64, "Last ticket in force on the VM.")
	Attribute("in_force", Boolean)
	Required("vm", "number", "in_force")
})

var TicketRecord = Type("TicketRecord", func() {
	Description("What became of a ticket.")
	Attribute("number", UInt64, "Ticket number; 0 if refused before it was numbered.")
	Attribute("client_id", String)
	Attribute("operator", String)
	Attribute("status", String, "accepted or refused.")
	Attribute("filed_at", String, "RFC 3339.")
	Attribute("filed_through", String, "VM whose router filed the ticket.", func() { Default("") })
	Attribute("problems", ArrayOf(Problem))
	Attribute("in_force_everywhere", Boolean)
	Attribute("in_force_known_at", String, "When this was first known, RFC 3339; absent until it is in the history.")
	Attribute("in_force_rule", String, "How it was known: acknowledged or bound_passed.")
	Attribute("in_force_at", ArrayOf(String), "VMs that had acknowledged the ticket by then.")
	Attribute("places", ArrayOf(Place))
	ticketChanges()
	Required("number", "client_id", "operator", "status", "filed_at", "in_force_everywhere")
})

var Failure = Type("Failure", func() {
	Description("An error with its verdict.")
	ErrorName("name", String, "Error name.")
	Attribute("message", String)
	Attribute("verdict", String, "not_run, may_have_run or ran.")
	Attribute("retry_after_seconds", Int)
	Required("name", "message", "verdict")
})

var VM = Type("VM", func() {
	Description("A virtual machine that runs a router.")
	Attribute("id", String)
	Attribute("failure_domain", String)
	Attribute("caller_address", String)
	Attribute("number", UInt64, "Last ticket in force.")
	Attribute("leaving", Boolean)
	Required("id", "failure_domain", "caller_address", "number", "leaving")
})

var State = Type("State", func() {
	Description("The configuration in force on the answering VM.")
	Attribute("number", UInt64)
	Attribute("objects", Objects)
	Attribute("vms", ArrayOf(VM))
	Required("number", "objects", "vms")
})

var _ = Service("admin", func() {
	Description("Tickets and the state they lead to.")
	Security(OperatorKey)
	Error("unauthorized", Failure)
	Error("unavailable", Failure)
	Error("not_found", Failure)
	Error("conflict", Failure)
	HTTP(func() {
		Path("/admin/v1")
		Response("unauthorized", StatusUnauthorized)
		Response("unavailable", StatusServiceUnavailable)
		Response("not_found", StatusNotFound)
		Response("conflict", StatusConflict)
	})

	Method("file_ticket", func() {
		Description("Files a ticket. Filing the same client_id again returns the first record.")
		Payload(func() {
			APIKey("operator_key", "key", String)
			Attribute("client_id", String, "The operator's own id of the ticket.")
			ticketChanges()
			Required("client_id")
		})
		Result(TicketRecord)

		HTTP(func() {
			POST("/tickets")
			Header("key:X-Operator-Key")
			Response(StatusOK)
		})
	})

	Method("show_ticket", func() {
		Description("Shows one ticket and where it is in force.")
		Payload(func() {
			APIKey("operator_key", "key", String)
			Attribute("number", UInt64)
			Required("number")
		})
		Result(TicketRecord)
		HTTP(func() {
			GET("/tickets/{number}")
			Header("key:X-Operator-Key")
			Response(StatusOK)
		})
	})

	Method("list_tickets", func() {
		Description("Lists accepted tickets in the order of their numbers.")
		Payload(func() {
			APIKey("operator_key", "key", String)
			Attribute("after", UInt64, "List tickets with a greater number.", func() { Default(0) })
			Attribute("limit", Int, "At most so many.", func() { Default(100); Minimum(1); Maximum(1000) })
		})
		Result(ArrayOf(TicketRecord))
		HTTP(func() {
			GET("/tickets")
			Param("after")
			Param("limit")
			Header("key:X-Operator-Key")
			Response(StatusOK)
		})
	})

	Method("show_state", func() {
		Description("Shows the configuration in force and the VMs.")
		Payload(func() {
			APIKey("operator_key", "key", String)
		})
		Result(State)
		HTTP(func() {
			GET("/state")
			Header("key:X-Operator-Key")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Drains the answering VM: it leaves the addresses, finishes its work and stops.")
		Payload(func() {
			APIKey("operator_key", "key", String)
		})
		HTTP(func() {
			POST("/drain")
			Header("key:X-Operator-Key")
			Response(StatusAccepted)
		})
	})
})
