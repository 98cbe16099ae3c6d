package storesync

const (
	// maxSharedTime is the time, in seconds, that a configuration may take over the link for the changes of
	// targets to wait for it: a tenth of the strictest bound on using a target that leaves.
	maxSharedTime = 0.2
	// wireFactor is how many bytes the store sends for one of a value: it encodes values in base64.
	wireFactor = 4.0 / 3
	// linkShare is the part of the link that is left to a response of the store: requests have the rest.
	linkShare = 0.5
	// bytesPerMegabit converts the bandwidth of links.
	bytesPerMegabit = 1e6 / 8
)

// Reads decides in which parts an entry reads the changes of the store. One response holds all
// changes, each value whole and also those that a later one supersedes. While that is quick over the link, one
// call reads them all. Where a configuration takes longer, the changes of targets are read in calls of
// their own, before it and while it arrives: a target that leaves must not wait for a configuration. After a
// configuration, everything is listed instead until it has not changed in between: a series of
// configurations may be written faster than the link carries them, and a list holds the last one alone.
type Reads struct {
	// series is set while another configuration may follow the last one.
	series bool
}

// Next returns how to read the next changes, given the size of the configuration in bytes, and the
// bandwidth of the link in megabits a second, zero if it is not known.
func (r *Reads) Next(configurationBytes int, linkMbps float64) (targetsApart, list bool) {
	if linkMbps <= 0 {
		return false, false
	}
	seconds := wireFactor * float64(configurationBytes) / (linkShare * linkMbps * bytesPerMegabit)
	return seconds > maxSharedTime, seconds > maxSharedTime && r.series
}

// RecordRead records a read, and whether it changed the configuration.
func (r *Reads) RecordRead(changed bool) { r.series = changed }
