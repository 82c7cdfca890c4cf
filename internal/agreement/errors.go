package agreement

import (
	"fmt"
	"time"
)

// InvalidVersionError reports a version that was rejected for its contents. The last valid
// version stays in force.
type InvalidVersionError struct {
	Version uint64
	Reason  string
}

func (e *InvalidVersionError) Error() string {
	return fmt.Sprintf("version %d was rejected: %s; the last valid version stays in force", e.Version, e.Reason)
}

// VersionConflictError reports a version number that is already in use for different contents.
type VersionConflictError struct{ Version, LastVersion uint64 }

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d already exists with different contents; read version %d and submit your changes as version %d", e.Version, e.LastVersion, e.LastVersion+1)
}

// VersionGapError reports a version that replaces another version than the last one.
type VersionGapError struct{ Version, Replaces, LastVersion uint64 }

func (e *VersionGapError) Error() string {
	return fmt.Sprintf("version %d replaces version %d, but the last version is %d; read that and submit again", e.Version, e.Replaces, e.LastVersion)
}

// SupersededError reports a version that was abandoned by this manager before the fleet had
// decided on it, since another one was submitted here. It may still come into force.
type SupersededError struct{ Version, SupersededBy uint64 }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("version %d was still undecided when version %d was submitted here; it may still come into force", e.Version, e.SupersededBy)
}

// UnsettledRouteError reports a request that is refused since its route is not, or may not be,
// the same in all versions that may be in force.
type UnsettledRouteError struct {
	Versions   []uint64
	NoLease    bool // this manager holds no lease
	RetryAfter time.Duration
}

func (e *UnsettledRouteError) Error() string {
	if e.NoLease {
		return fmt.Sprintf("version %v may have been replaced, and this manager holds no lease: retry in %v", e.Versions, e.RetryAfter)
	}
	return fmt.Sprintf("versions %v give different routes, and it is not settled which is in force: retry in %v", e.Versions, e.RetryAfter)
}
