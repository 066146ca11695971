package core

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"yarrowridge/internal/relay"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/wire"
)

// past is how many older layouts are kept for reading back.
const past = 16

// marks is how many write ids are remembered.
const marks = 1000

func (s *Server) giveLayout(in *Want) (*Sheet, error) {
	if err := s.prime(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	sheet := s.sheet
	s.mu.Unlock()
	if in.Seq == 0 || in.Seq == sheet.Seq {
		return &sheet, nil
	}
	raw, ok := s.st.Load().Get(pastKey(in.Seq))
	if !ok || in.Seq > sheet.Seq {
		return nil, wire.Fault{Code: "no-such-sequence"}
	}
	var old Sheet
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, err
	}
	return &old, nil
}

func pastKey(seq uint64) string { return "past/" + strconv.FormatUint(seq, 10) }

func (t *Tx) sheet() (Sheet, error) {
	var s Sheet
	raw, ok := t.Get("layout")
	if !ok {
		return s, nil
	}
	_, err := s.UnmarshalMsg(raw)
	return s, err
}

// write checks and takes an operator's change. It is answered once both disks hold it and each
// zone's first relays have it, or a short time for that has passed.
func (s *Server) write(ctx context.Context, in *Write) (*Wrote, error) {
	out := &Wrote{Code: 200}
	if len(in.Raw) > s.set.Codec.MaxBytes() {
		return &Wrote{Code: 413}, nil
	}
	sum := sha256.Sum256(in.Raw)
	hash := hex.EncodeToString(sum[:])
	var sheet Sheet
	err := s.Submit(ctx, func(tx *Tx) (err error) {
		sheet, err = s.applyWrite(tx, in, hash, out)
		return err
	})
	if err != nil {
		return nil, err
	}
	if sheet.Seq > 0 {
		s.ctx.Log.Info("Layout taken.", "sequence", sheet.Seq)
		s.push(relay.ConfigRecord(sheet.Seq, sheet.Raw))
		if !s.stands(s.vot.View()) {
			return nil, wire.Fault{Code: InDoubt}
		}
	}
	return out, nil
}

// applyWrite checks one write against what stands and records it. out says what came of it; the sheet is the
// new one, or empty where the write changes nothing.
func (s *Server) applyWrite(tx *Tx, in *Write, hash string, out *Wrote) (Sheet, error) {
	cur, err := tx.sheet()
	if err != nil {
		return Sheet{}, err
	}
	if again, err := tx.isRepeated(in, hash, out); again || err != nil {
		return Sheet{}, err
	}
	out.Seq = cur.Seq
	if !in.Any && in.Match != cur.Seq {
		out.Code = 412
		if !strike.Out("race") {
			return Sheet{}, nil
		}
	}
	raw := in.Raw
	if in.Patch {
		if raw, err = s.set.Codec.Merge(cur.Raw, in.Raw); err != nil {
			out.Code, out.Flaws = 400, []Flaw{{Text: "valid JSON expected"}}
			return Sheet{}, nil
		}
		if len(raw) > s.set.Codec.MaxBytes() {
			out.Code = 413
			return Sheet{}, nil
		}
	}
	next, numbered, flaws := s.check(cur, raw)
	if len(flaws) > 0 {
		out.Code, out.Flaws = 400, flaws
		return Sheet{}, nil
	}
	out.Seq = next.Seq
	return next, tx.record(cur, next, numbered, in.Id, hash)
}

// isRepeated tells whether a write with this id was taken before. out is then what was answered, or says that
// the id stands for another document.
func (t *Tx) isRepeated(in *Write, hash string, out *Wrote) (bool, error) {
	if in.Id == "" {
		return false, nil
	}
	raw, ok := t.Get("mark/" + in.Id)
	if !ok {
		return false, nil
	}
	var mark Mark
	if _, err := mark.UnmarshalMsg(raw); err != nil {
		return true, err
	}
	out.Seq, out.Again = mark.Seq, true
	if mark.Sum != hash {
		out.Code = 422
	}
	return true, nil
}

// check reads a new configuration and gives it its sequence. numbered: the document numbers itself.
func (s *Server) check(cur Sheet, raw []byte) (next Sheet, numbered bool, flaws []Flaw) {
	doc, flaws := s.set.Codec.Check(raw)
	if len(flaws) > 0 {
		return Sheet{}, false, flaws
	}
	if doc.Sequence == 0 {
		return Sheet{Seq: cur.Seq + 1, Raw: raw}, false, nil
	}
	if doc.Sequence <= cur.Seq {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", cur.Seq, doc.Sequence)
		return Sheet{}, true, []Flaw{{Path: "sequence", Text: text}}
	}
	return Sheet{Seq: doc.Sequence, Raw: raw}, true, nil
}

// record puts the new sheet, a copy for reading back and the write's id.
func (t *Tx) record(cur, sheet Sheet, numbered bool, id, hash string) error {
	h, known, err := t.history(cur.Seq)
	if err != nil {
		return err
	}
	h.Count++
	if err := t.Put("layout", &sheet); err != nil {
		return err
	}
	if err := t.keepPast(&h, &sheet, numbered); err != nil {
		return err
	}
	if err := t.keepMark(h.Count, id, Mark{sheet.Seq, hash}); err != nil {
		return err
	}
	if known || numbered {
		return t.Put(historyKey, &h)
	}
	return nil
}

// decodedConfig is a configuration and the stored bytes that it was decoded from.
type decodedConfig struct {
	raw      []byte
	document *Document // nil: it is not understood
}

// documentIn gives the configuration as the batch under way has it. Nil: none was put yet, or it is not
// understood. It is decoded once, since each move of quota units asks for it. Only the run loop calls it.
func (s *Server) documentIn(tx *Tx) (*Document, error) {
	raw, ok := tx.Get("layout")
	if !ok {
		return nil, nil
	}
	if sameBytes(raw, s.decoded.raw) {
		return s.decoded.document, nil
	}
	sheet, err := tx.sheet()
	if err != nil {
		return nil, err
	}
	s.decoded = decodedConfig{raw: raw, document: s.parsed(sheet)}
	return s.decoded.document, nil
}

// sameBytes tells whether two slices are the same memory: what was decoded from one is good for the other.
func sameBytes(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// parsed keeps the last document read, since shares ask for it often. Only the run loop calls it.
func (s *Server) parsed(sheet Sheet) *Document {
	if sheet.Seq == 0 {
		return nil // none was put yet
	}
	if s.doc == nil || s.docSeq != sheet.Seq {
		doc, flaws := s.set.Codec.Check(sheet.Raw)
		if len(flaws) > 0 {
			return nil
		}
		doc.Claims = doc.Claims.withDefaults()
		s.doc, s.docSeq = &doc, sheet.Seq
	}
	return s.doc
}
