package controller

import (
	"time"

	"github.com/agategap/agategap/config"
)

// CheckRequest asks a daemon whether another one answers it. It is a wire message.
type CheckRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM       string
	Address  string
}

// CheckReply answers a CheckRequest. It is a wire message.
type CheckReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Answered bool
}

// ListRequest asks for the last list of VMs. It is a wire message.
type ListRequest struct {
	Domain string
}

// ListReply has the last list of VMs. It is a wire message.
type ListReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	AgeMS    int64    // time since the platform confirmed the list
	Known    bool
	Machines []MachineRecord
}

// MachineRecord is an entry of the list of VMs. It is a wire message.
type MachineRecord struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name        string
	Address     string
	PeerAddress string
	Domain      string
	Region      string
	Service     string
	Target      bool
	Leaving     bool
}

// FetchRequest asks for a newer configuration version. It is a wire message.
type FetchRequest struct {
	Known int64 // version of the sender; 0 for none
}

// FetchReply has the version in force when it is newer, else offset 0. It is a wire message.
type FetchReply struct {
	Offset  int64
	Version config.Version
}

// maxMachines bounds a list of VMs. The planned size has 940.
const maxMachines = 16384

func machineRecords(l []Machine) []MachineRecord {
	r := make([]MachineRecord, len(l))
	for i, m := range l {
		r[i] = MachineRecord{
			Name: m.name, Address: m.address, PeerAddress: m.peerAddress, Domain: m.domain, Region: m.region,
			Service: m.service, Target: m.target, Leaving: m.leaving,
		}
	}

	return r
}

func machines(l []MachineRecord) []Machine {
	r := make([]Machine, len(l))
	for i, m := range l {
		r[i] = Machine{
			name: m.Name, address: m.Address, peerAddress: m.PeerAddress, domain: m.Domain, region: m.Region,
			service: m.Service, target: m.Target, leaving: m.Leaving,
		}
	}

	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
