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

// maxVersions is how many older layouts are kept for reading back.
const maxVersions = 16

// maxWriteIDs is how many write ids are remembered.
const maxWriteIDs = 1000

func (s *Server) readConfig(in *ConfigRequest) (*StoredConfig, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	sheet := s.config
	s.mu.Unlock()
	if in.Version == 0 || in.Version == sheet.Version {
		return &sheet, nil
	}
	raw, ok := s.store.Load().Get(versionKey(in.Version))
	if !ok || in.Version > sheet.Version {
		return nil, wire.Fault{Code: "no-such-sequence"}
	}
	var old StoredConfig
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, err
	}
	return &old, nil
}

func versionKey(seq uint64) string { return "past/" + strconv.FormatUint(seq, 10) }

func (t *Tx) config() (StoredConfig, error) {
	var s StoredConfig
	raw, ok := t.Get("layout")
	if !ok {
		return s, nil
	}
	_, err := s.UnmarshalMsg(raw)
	return s, err
}

// writeConfig checks and takes an operator's change. It is answered once both disks hold it and each
// zone's first relays have it, or a short time for that has passed.
func (s *Server) writeConfig(ctx context.Context, in *WriteRequest) (*WriteResponse, error) {
	out := &WriteResponse{Code: 200}
	if len(in.Raw) > s.settings.Codec.MaxBytes() {
		return &WriteResponse{Code: 413}, nil
	}
	sum := sha256.Sum256(in.Raw)
	hash := hex.EncodeToString(sum[:])
	var sheet StoredConfig
	err := s.Submit(ctx, func(tx *Tx) (err error) {
		sheet, err = s.applyWrite(tx, in, hash, out)
		return err
	})
	if err != nil {
		return nil, err
	}
	if sheet.Version > 0 {
		s.ctx.Log.Info("Layout taken.", "sequence", sheet.Version)
		s.push(relay.ConfigRecord(sheet.Version, sheet.Raw))
		if !s.isPrimary(s.voter.View()) {
			return nil, wire.Fault{Code: InDoubt}
		}
	}
	return out, nil
}

// applyWrite checks one write against what stands and records it. out says what came of it; the sheet is the
// new one, or empty where the write changes nothing.
func (s *Server) applyWrite(tx *Tx, in *WriteRequest, hash string, out *WriteResponse) (StoredConfig, error) {
	cur, err := tx.config()
	if err != nil {
		return StoredConfig{}, err
	}
	if again, err := tx.isRepeated(in, hash, out); again || err != nil {
		return StoredConfig{}, err
	}
	out.Version = cur.Version
	if !in.AnyVersion && in.BaseVersion != cur.Version {
		out.Code = 412
		if !strike.Out("race") {
			return StoredConfig{}, nil
		}
	}
	raw := in.Raw
	if in.Patch {
		if raw, err = s.settings.Codec.Merge(cur.Raw, in.Raw); err != nil {
			out.Code, out.Errors = 400, []ConfigError{{Text: "valid JSON expected"}}
			return StoredConfig{}, nil
		}
		if len(raw) > s.settings.Codec.MaxBytes() {
			out.Code = 413
			return StoredConfig{}, nil
		}
	}
	next, numbered, flaws := s.check(cur, raw)
	if len(flaws) > 0 {
		out.Code, out.Errors = 400, flaws
		return StoredConfig{}, nil
	}
	out.Version = next.Version
	return next, tx.recordWrite(cur, next, numbered, in.Id, hash)
}

// isRepeated tells whether a write with this id was taken before. out is then what was answered, or says that
// the id stands for another document.
func (t *Tx) isRepeated(in *WriteRequest, hash string, out *WriteResponse) (bool, error) {
	if in.Id == "" {
		return false, nil
	}
	raw, ok := t.Get("mark/" + in.Id)
	if !ok {
		return false, nil
	}
	var mark WriteRecord
	if _, err := mark.UnmarshalMsg(raw); err != nil {
		return true, err
	}
	out.Version, out.Repeated = mark.Version, true
	if mark.Hash != hash {
		out.Code = 422
	}
	return true, nil
}

// check reads a new configuration and gives it its sequence. numbered: the document numbers itself.
func (s *Server) check(cur StoredConfig, raw []byte) (next StoredConfig, numbered bool, flaws []ConfigError) {
	doc, flaws := s.settings.Codec.Check(raw)
	if len(flaws) > 0 {
		return StoredConfig{}, false, flaws
	}
	if doc.Version == 0 {
		return StoredConfig{Version: cur.Version + 1, Raw: raw}, false, nil
	}
	if doc.Version <= cur.Version {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", cur.Version, doc.Version)
		return StoredConfig{}, true, []ConfigError{{Path: "sequence", Text: text}}
	}
	return StoredConfig{Version: doc.Version, Raw: raw}, true, nil
}

// recordWrite puts the new sheet, a copy for reading back and the write's id.
func (t *Tx) recordWrite(cur, sheet StoredConfig, numbered bool, id, hash string) error {
	h, known, err := t.history(cur.Version)
	if err != nil {
		return err
	}
	h.Writes++
	if err := t.Put("layout", &sheet); err != nil {
		return err
	}
	if err := t.keepVersion(&h, &sheet, numbered); err != nil {
		return err
	}
	if err := t.keepWriteID(h.Writes, id, WriteRecord{sheet.Version, hash}); err != nil {
		return err
	}
	if known || numbered {
		return t.Put(historyKey, &h)
	}
	return nil
}

// parsedConfig keeps the last document read, since shares ask for it often. Only the run loop calls it.
func (s *Server) parsedConfig(sheet StoredConfig) *Document {
	if sheet.Version == 0 {
		return nil // none was put yet
	}
	if s.document == nil || s.documentVersion != sheet.Version {
		doc, flaws := s.settings.Codec.Check(sheet.Raw)
		if len(flaws) > 0 {
			return nil
		}
		doc.Claims = doc.Claims.withDefaults()
		s.document, s.documentVersion = &doc, sheet.Version
	}
	return s.document
}
