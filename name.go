package mulberrybeam

// EnvironmentName is the name of an environment, the unit that operators
// configure.
type EnvironmentName string

// RegionName is the name of a region.
type RegionName string

// ZoneName is the name of an availability zone.
type ZoneName string

// WorkspaceName is the name of a workspace, the unit of isolation between
// customers.
type WorkspaceName string

// ModelName is the name of a model as callers write it in a request.
type ModelName string

// SharedPart identifies what several requests may share that crashes targets: a prompt
// part, as "model/part", or all of a request that callers repeat.
type SharedPart string

// ServiceName is the name of a service.
type ServiceName string

// WeightVersion is a version of a model's weights.
type WeightVersion string

// TargetID identifies an engine or a service instance by its configured
// address.
type TargetID string

// InstanceID identifies one run of a target's process. It changes when the
// target restarts.
type InstanceID string

// StoreID identifies a context store host.
type StoreID string

// ProcessID identifies one run of an entry process, as "host/incarnation".
type ProcessID string

// RequestID identifies one request across all processes and attempts.
type RequestID string

// Revision numbers the accepted configurations of an environment, starting at
// 1.
type Revision uint64

// Epoch numbers the successive holders of a slot, starting at 1, and serves as
// the fencing token.
type Epoch uint64
