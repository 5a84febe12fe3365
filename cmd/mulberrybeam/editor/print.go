package editor

import (
	"fmt"
	"io"

	"mulberrybeam"
)

// PrintChanges writes one line for each change, prefixed with + for an added, - for
// a removed and ~ for a modified value.
func PrintChanges(out io.Writer, changes []Change) {
	for _, change := range changes {
		switch {
		case change.Before == "":
			_, _ = fmt.Fprintf(out, "+ %s = %s\n", change.Path, change.After)
		case change.After == "":
			_, _ = fmt.Fprintf(out, "- %s = %s\n", change.Path, change.Before)
		default:
			_, _ = fmt.Fprintf(out, "~ %s: %s -> %s\n", change.Path, change.Before, change.After)
		}
	}
}

// ZonePointer returns the JSON pointer to the state of a zone in the document.
func ZonePointer(environment *mulberrybeam.Environment, name mulberrybeam.ZoneName) (string, error) {
	for i, region := range environment.Regions {
		for j, zone := range region.Zones {
			if zone.Name == name {
				return fmt.Sprintf("/regions/%d/zones/%d/state", i, j), nil
			}
		}
	}
	return "", fmt.Errorf("environment %q has no zone %q; run \"mulberrybeam zone list\" to see its zones", environment.Name, name)
}
