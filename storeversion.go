package mulberrybeam

import (
	"strconv"
	"strings"
)

// StoreEra numbers the histories of the platform's store. It changes when the store
// comes back from a copy, which lacks what was written last: versions are then given
// out again for other contents. It is 0 while the store states none.
type StoreEra uint64

// StoreVersion is the version of an object or of a feed of the platform's store. Only
// versions of the same era can be compared.
type StoreVersion struct {
	Era      StoreEra
	Revision uint64
}

// ParseStoreVersion parses the text of a version. It reports false if the text is none.
func ParseStoreVersion(text string) (StoreVersion, bool) {
	era, revision, found := strings.Cut(text, ".")
	if !found {
		era, revision = "0", text
	}
	parsedEra, err := strconv.ParseUint(era, 10, 64)
	parsedRevision, revisionErr := strconv.ParseUint(revision, 10, 64)
	return StoreVersion{StoreEra(parsedEra), parsedRevision}, err == nil && revisionErr == nil
}

// eraShift leaves 40 bits of an ordinal for the revision.
const eraShift = 40

// Ordinal returns a number that rises over all versions, also from one era to the next.
func (v StoreVersion) Ordinal() uint64 { return uint64(v.Era)<<eraShift | v.Revision }

// VersionOfOrdinal returns the version with an ordinal.
func VersionOfOrdinal(ordinal uint64) StoreVersion {
	return StoreVersion{StoreEra(ordinal >> eraShift), ordinal & (1<<eraShift - 1)}
}

// String returns the text of the version, which is the revision alone without an era.
func (v StoreVersion) String() string {
	revision := strconv.FormatUint(v.Revision, 10)
	if v.Era == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(v.Era), 10) + "." + revision
}
