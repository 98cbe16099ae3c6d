package metrics

import (
	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/process/meter"
)

// LinkGauges returns gauges of the links of a process.
func LinkGauges(links *link.Registry) []meter.Gauge {
	return []meter.Gauge{
		{Name: "mulberrylane.links", Description: "Open links", Read: func() int64 { return int64(links.Len()) }},
		{Name: "mulberrylane.links.bytes", Description: "Bytes on the network of all links, packet headers included", Read: func() int64 {
			return int64(links.Traffic().WireBytes())
		}},
		{Name: "mulberrylane.links.control_bytes", Description: "Bytes on the network of all control streams, packet headers included", Read: func() int64 {
			return int64(links.Traffic().ControlBytes)
		}},
		{Name: "mulberrylane.links.packets", Description: "Packets of all links", Read: func() int64 {
			return int64(links.Traffic().Packets)
		}},
	}
}
