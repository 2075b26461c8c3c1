package storer

import "net/netip"

// Role tells what runs at an address of the platform's list.
type Role string

// The roles in the platform's list.
const (
	// RoleEntry is an instance of buckthorngap.
	RoleEntry Role = "entry"
	// RoleEngine is an upstream that runs models.
	RoleEngine Role = "engine"
	// RoleService is an upstream that is a plain service.
	RoleService Role = "service"
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Domain is the failure domain that it runs in.
	Domain string `json:"domain"`
	// Role tells what it is.
	Role Role `json:"role"`
	// Service is the service's name if the role is RoleService.
	Service string `json:"service,omitempty"`
	// Address is where it listens: QUIC for RoleEntry, HTTP for the others.
	Address netip.AddrPort `json:"address"`
	// Leaving is set once the platform has announced that it will go.
	Leaving bool `json:"leaving"`
	// Share is the processor share that it may use, in cores; zero if not known.
	Share float64 `json:"share,omitempty"`
}
