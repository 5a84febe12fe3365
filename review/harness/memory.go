//go:build review

package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// MemoryLimit is limits.memory_mb of the settings.
const MemoryLimit = 134

// PeakMemory returns the largest resident memory of the process so far in MB, or 0
// once it has ended.
func (h *Host) PeakMemory() int {
	h.mutex.Lock()
	process := h.command.Process.Pid
	h.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes / 1024
		}
	}
	return 0
}
