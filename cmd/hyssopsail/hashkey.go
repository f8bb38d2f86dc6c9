package main

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// hashKeyCommand prints the hash of a given or a newly generated key.
type hashKeyCommand struct {
	app  *app
	file string
}

// newKeyBytes is the length of a generated key before hex encoding.
const newKeyBytes = 24

func addHashKey(a *app, parser *kingpin.Application) {
	c := &hashKeyCommand{app: a}
	command := parser.Command("hash-key", "Print the hash that settings hold for the key in a file; without a file, make a new key and print both.")
	command.Arg("file", "File with the key.").StringVar(&c.file)
	command.Action(a.commandAction(c.run))
}

// keyPair is a key with its hash; Key is empty when it came from a file.
type keyPair struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func (c *hashKeyCommand) run() error {
	pair, err := c.pair()
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"KEY", "HASH"}}
	t.add(orDash(pair.Key), pair.Hash)
	return c.app.show(pair, t)
}

func (c *hashKeyCommand) pair() (keyPair, error) {
	if c.file != "" {
		key, err := readKey(c.file)
		return keyPair{Hash: string(keyhash.Of(key))}, trace.Wrap(err)
	}
	raw := make([]byte, newKeyBytes)
	if _, err := rand.Read(raw); err != nil {
		return keyPair{}, trace.Wrap(err)
	}
	key := hex.EncodeToString(raw)
	return keyPair{Key: key, Hash: string(keyhash.Of(key))}, nil
}
