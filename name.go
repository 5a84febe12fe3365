package mulberrybeam

// EnvironmentName names an environment, the unit that operators configure.
type EnvironmentName string

// RegionName names a region.
type RegionName string

// ZoneName names an availability zone.
type ZoneName string

// WorkspaceName names a workspace, the unit of isolation between customers.
type WorkspaceName string

// ModelName names a model as callers write it in a request.
type ModelName string

// ServiceName names a plain service.
type ServiceName string

// WeightVersion names one version of a model's weights.
type WeightVersion string

// TargetID identifies an engine or a service instance address.
type TargetID string

// InstanceID identifies one run of a target's process. It changes when the
// target restarts.
type InstanceID string

// StoreID identifies a context store host.
type StoreID string

// ProcessID identifies one run of an entry process, as "host/incarnation".
type ProcessID string

// RequestID identifies one request over all processes and attempts.
type RequestID string

// Revision counts the accepted configurations of an environment from 1.
type Revision uint64

// Epoch counts the holders of a slot from 1 and serves as fencing number.
type Epoch uint64
