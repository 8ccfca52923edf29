package admission

const (
	// floorShare is the part of the admitted prompt tokens of a service that each class
	// keeps.
	floorShare = 0.05
	// floorBurst is the number of prompts for which an idle class collects credit.
	floorBurst = 4
)

// floors admits requests of classes of which less than floorShare of the prompt tokens of
// their service were admitted at this gateway.
type floors struct {
	// admitted is the number of prompt tokens admitted since the start by service.
	admitted map[string]float64
	classes  map[RequestClass]*floorCredit
}

// floorCredit is the number of prompt tokens that a class may still admit, as of a number
// of admitted prompt tokens of its service. It starts at zero, at which a request is
// admitted: a class of a new route is not refused because its history is short.
type floorCredit struct{ tokens, asOf float64 }

func newFloors() floors {
	return floors{admitted: make(map[string]float64), classes: make(map[RequestClass]*floorCredit)}
}

// credit returns the credit of a class, at most floorBurst prompts of the given size; nil if
// there are too many classes.
func (f *floors) credit(k RequestClass, prompt float64) *floorCredit {
	c := f.classes[k]
	total := f.admitted[k.Service]
	if c == nil {
		if len(f.classes) >= maxClasses {
			return nil
		}
		c = &floorCredit{asOf: total}
		f.classes[k] = c
	}
	c.tokens = min(c.tokens+floorShare*(total-c.asOf), floorBurst*prompt)
	c.asOf = total
	return c
}

// isOwed reports whether a request of the class is to be admitted for its floor.
func (f *floors) isOwed(k RequestClass, prompt float64) bool {
	c := f.credit(k, prompt)
	return c != nil && c.tokens >= 0
}

// countAdmitted counts an admitted request. A class owes at most one prompt, so that its
// floor holds soon after a time in which much of it was admitted.
func (f *floors) countAdmitted(k RequestClass, prompt float64) {
	if _, known := f.admitted[k.Service]; !known && len(f.admitted) >= maxClasses {
		return
	}
	f.admitted[k.Service] += prompt
	if c := f.credit(k, prompt); c != nil {
		c.tokens = max(c.tokens-prompt, -prompt)
	}
}
