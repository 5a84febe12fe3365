package mulberrybeam

// StreamKey identifies a stream by a hash of the ID of the request that brought its
// first event.
type StreamKey uint64

// StreamOrigin is where a stream began. What two software versions write does not fit
// together, so that it goes on at targets of this version only.
type StreamOrigin struct {
	Service  ServiceName
	Software SoftwareVersion
}

// StreamShare lists streams of one origin that a process knows.
type StreamShare struct {
	StreamOrigin
	Streams []StreamKey
}

// StreamUpdate is what a process tells its peers of the streams that it serves. It replaces
// the one before, and is empty if there is nothing to tell.
type StreamUpdate struct {
	// Run identifies the run of the process. It is 0 in an empty update.
	Run    uint64
	Shares []StreamShare
}

// StreamSnapshot is what is stored of the streams of a service. Streams are listed only if
// there is more than one version, and any other stream is then of an unknown one.
type StreamSnapshot struct {
	Service ServiceName
	// Versions are the software versions that streams may have begun at.
	Versions []SoftwareStreams
}

// SoftwareStreams are the streams of a service that began at a software version.
type SoftwareStreams struct {
	Software SoftwareVersion
	Streams  []StreamKey
}
