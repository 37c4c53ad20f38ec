package daemon

const (
	// outsideBytes is what a process uses besides the memory that the collector counts: the mapped
	// program and libc (13 MB measured), threads, and a margin.
	outsideBytes = 20_000_000
	// The collector may use heapNumerator/heapDenominator of the rest. What is left is for the buffers
	// of the sockets, which the kernel holds for the process.
	heapNumerator, heapDenominator = 3, 4
	// minHeapLimit is well above what the catalog, several hundred connections and their stacks take
	// (20 MB measured under load). Below that, the collector would run all the time and free nothing.
	minHeapLimit = 40_000_000
)

// HeapLimit returns the soft limit of the garbage collector, in bytes, on a machine with memoryMB MB
// of memory; 0 for none if that is not known. The limit has the collector run more often
// where garbage would otherwise use the rest of the machine. It refuses nothing.
func HeapLimit(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return 0
	}
	return max(int64(memoryMB*1e6-outsideBytes)*heapNumerator/heapDenominator, minHeapLimit)
}
