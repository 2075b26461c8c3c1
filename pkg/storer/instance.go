package storer

import "net/netip"

// Role is the kind of program that runs at an address in the platform's list.
type Role string

// Roles in the platform's list.
const (
	// RoleEntry is an instance of buckthorngap.
	RoleEntry Role = "entry"
	// RoleEngine is an upstream that runs models.
	RoleEngine Role = "engine"
	// RoleService is an upstream that is a plain service.
	RoleService Role = "service"
)

// Instance is one row of the platform's list of instances and upstreams, which may
// be stale.
type Instance struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"domain"`
	// Role is the kind of the instance.
	Role Role `json:"role"`
	// Service is the name of the service if the role is RoleService.
	Service string `json:"service,omitempty"`
	// Version is the version of its software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Address is the address that it listens on, by QUIC for RoleEntry and by HTTP
	// for the other roles.
	Address netip.AddrPort `json:"address"`
	// Leaving is set once the platform has announced that the instance will be
	// removed.
	Leaving bool `json:"leaving"`
	// Evacuated is set while an operator has evacuated its failure domain. Its entry in the list does not say so.
	Evacuated bool `json:"evacuated,omitempty"`
	// Cores is the processor time that the instance may use, in cores; zero if unknown.
	Cores float64 `json:"share,omitempty"`
}
