package agreed

import (
	"fmt"
	"time"
)

// InvalidVersionError is a version that was turned down for its contents. The last good one stays.
type InvalidVersionError struct {
	Version uint64
	Reason  string
}

func (e *InvalidVersionError) Error() string {
	return fmt.Sprintf("version %d is turned down: %s; the last good one stays", e.Version, e.Reason)
}

// VersionConflictError is a number that was given to different contents before.
type VersionConflictError struct{ Version, LastVersion uint64 }

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d is there already with different contents; read version %d and submit %d", e.Version, e.LastVersion, e.LastVersion+1)
}

// VersionGapError is a version that replaces another than the last one.
type VersionGapError struct{ Version, Replaces, LastVersion uint64 }

func (e *VersionGapError) Error() string {
	return fmt.Sprintf("version %d replaces %d, but the last one is %d; read that and submit anew", e.Version, e.Replaces, e.LastVersion)
}

// SupersededError is a version that was given up here before the fleet had decided on it,
// since another one was submitted at the same manager. It may still come into force.
type SupersededError struct{ Version, SupersededBy uint64 }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("version %d was not decided on when version %d was submitted here; it may still come", e.Version, e.SupersededBy)
}

// UnsettledRouteError is a request that is refused since its route is not the same in all
// versions that may be in force, or might not be.
type UnsettledRouteError struct {
	Versions   []uint64
	NoLease    bool // this manager hears nothing of the fleet
	RetryAfter time.Duration
}

func (e *UnsettledRouteError) Error() string {
	if e.NoLease {
		return fmt.Sprintf("version %v may have been replaced, and this manager hears nothing of the fleet: come again in %v", e.Versions, e.RetryAfter)
	}
	return fmt.Sprintf("versions %v give different routes, and which is in force is not settled: come again in %v", e.Versions, e.RetryAfter)
}
