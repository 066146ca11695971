package allow

import "sync"

// Habit is how much of the length asked for answers have lately come to. What is ahead is counted by
// that, in the same unit as the runners' measured speed: origins ask for the most that they would take, and a
// piece of a stream may hold several tokens.
type Habit struct{ runs, asked, came float64 }

// A habit counts from so many answers on; at so many, older ones fade.
const habitFrom, habitMost = 4, 256

// Add counts a whole answer.
//
//	h.Add(2000, 310)
func (h *Habit) Add(asked, came int) {
	if h.runs >= habitMost {
		*h = Habit{h.runs / 2, h.asked / 2, h.came / 2}
	}
	h.runs++
	h.asked += float64(asked)
	h.came += float64(min(came, asked))
}

// Share is the part of what is asked for that is likely to come: all, until enough was seen.
//
//	n := 2000 * h.Share()
func (h *Habit) Share() float64 {
	if h.runs < habitFrom || h.asked <= 0 {
		return 1
	}
	return h.came / h.asked
}

// Habits is each lane's habit.
type Habits struct {
	mu sync.Mutex
	by map[string]*Habit
}

// NewHabits makes an empty record.
//
//	h := allow.NewHabits()
func NewHabits() *Habits { return &Habits{by: map[string]*Habit{}} }

// Add counts a whole answer of a lane.
//
//	h.Add("writeups", 2000, 310)
func (h *Habits) Add(lane string, asked, came int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.by[lane] == nil {
		h.by[lane] = &Habit{}
	}
	h.by[lane].Add(asked, came)
}

// Expect is the output that a query of a lane is likely to come to, of what it asks for.
//
//	n := h.Expect("writeups", 2000) // 310
func (h *Habits) Expect(lane string, asked int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.by[lane] == nil {
		return asked
	}
	return int(float64(asked)*h.by[lane].Share() + 0.5)
}
