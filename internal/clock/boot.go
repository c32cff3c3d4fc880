package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is an arbitrary fixed origin for BootTime.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// BootTime returns the time of CLOCK_BOOTTIME, counted from an arbitrary origin.
// It doesn't step with the wall clock and, unlike the monotonic clock, includes
// the time for which the VM was suspended. Only differences between two results
// are meaningful.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME is not supported; fall back to the monotonic clock.
		return epoch.Add(time.Since(processStart))
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

var processStart = time.Now()
