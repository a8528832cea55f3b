package engine

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// kvBytes is the size of one exported block. Real blocks are megabytes; small ones keep tests fast.
const kvBlockBytes = 1024

// KV is exported cache content.
type KV struct {
	Version ident.Version `json:"version"`
	Blocks  []KVBlock     `json:"blocks"`
}

// KVBlock is one block; its data is a function of its hash, so that damage is found at import.
type KVBlock struct {
	Hash ident.Block `json:"hash"`
	Data []byte      `json:"data"`
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	var want []ident.Block
	for s := range strings.SplitSeq(r.URL.Query().Get("blocks"), ",") {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			reply.Error(w, http.StatusBadRequest, "blocks is not a list of numbers")
			return
		}
		want = append(want, ident.Block(n))
	}
	reply.JSON(w, http.StatusOK, e.exportBlocks(want))
}

// export returns those of the wanted blocks that are cached.
func (e *Engine) exportBlocks(want []ident.Block) KV {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := KV{Version: e.version, Blocks: []KVBlock{}}
	for _, b := range want {
		if e.prefix.index[b] != nil {
			out.Blocks = append(out.Blocks, KVBlock{b, kvBlockData(b)})
		}
	}
	return out
}

func (e *Engine) postKV(w http.ResponseWriter, r *http.Request) {
	var in KV
	if !reply.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Version != e.version {
		reply.Error(w, http.StatusConflict, "KV of another version")
		return
	}
	blocks := make([]ident.Block, 0, len(in.Blocks))
	for _, b := range in.Blocks {
		if !bytes.Equal(b.Data, kvBlockData(b.Hash)) {
			reply.Error(w, http.StatusBadRequest, "damaged block")
			return
		}
		blocks = append(blocks, b.Hash)
	}
	e.prefix.add(blocks, time.Now())
	reply.JSON(w, http.StatusOK, map[string]int{"imported": len(blocks)})
}

func kvBlockData(b ident.Block) []byte {
	return bytes.Repeat(binary.BigEndian.AppendUint64(nil, uint64(b)), kvBlockBytes/8)
}
