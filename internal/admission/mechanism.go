package admission

// mechanisms maps names to the mechanisms that can be disabled.
var mechanisms = map[string]Mechanism{
	"concurrency-limit":     ConcurrencyLimit,
	"urgency-order":         UrgencyOrder,
	"depth-order":           DepthOrder,
	"fair-order":            FairOrder,
	"urgent-reserve":        UrgentReserve,
	"deadline-drop":         DeadlineDrop,
	"cold-ramp":             ColdRamp,
	"refusal-cut":           RefusalCut,
	"silent-cold-detection": SilentColdDetection,
}

// ParseMechanism returns the mechanism with the given kebab-case name, and
// whether there is one.
func ParseMechanism(name string) (Mechanism, bool) {
	m, ok := mechanisms[name]
	return m, ok
}
