package core

// Codec reads the configuration documents that operators write. The core keeps them as they came.
type Codec interface {
	// Check reads a whole document. sequence is the number that the document gives itself; 0: the core
	// counts on from the current one. With any flaw the document is invalid.
	Check(raw []byte) (doc Document, flaws []Flaw)
	// Merge applies a partial change to the current document.
	Merge(current, change []byte) (raw []byte, err error)
	// MaxBytes is the size of the largest document.
	MaxBytes() int
}

// Document is what the core itself needs to know of a configuration.
type Document struct {
	Sequence uint64         // 0: the core counts
	Quotas   map[string]int // units of each tenant that has a quota
}
