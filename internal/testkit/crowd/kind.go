package crowd

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Kind is a kind of client that doesn't behave.
type Kind struct {
	Name    string
	Clients int
	play    func(ctx context.Context, c *client)
}

// The usual limits of a configuration.
const (
	LegalHeadBytes = 16 << 10
	LegalBodyBytes = 4 << 20
)

// Sizes of what the kinds send.
const (
	legalFields   = 2300
	overFields    = 8000
	pieceBytes    = 100
	stalledBytes  = 16 << 10
	endlessLength = 1 << 40
	blockBytes    = 64 << 10
	// documentObjects are those of a document of 1 MiB.
	documentObjects = 1 << 20 / 3
)

// Kinds are the kinds of clients at a listener of HTTP.
var Kinds = []Kind{
	{"silent", 4500, playSilent},
	{"slow-heads", 2000, playSlowHead},
	{"half-heads", 3000, playHalfHead},
	{"legal-fields", 300, func(ctx context.Context, c *client) { playFields(c, legalFields) }},
	{"many-fields", 200, func(ctx context.Context, c *client) { playFields(c, overFields) }},
	{"large-bodies", 100, playLargeBody},
	{"pieces", 300, playPieces},
	{"chunked-bodies", 100, playChunked},
	{"stalled-bodies", 3000, playStalledBody},
	{"one-byte-chunks", 300, playOneByteChunks},
	{"endless-bodies", 100, playEndlessBody},
	{"oversized-bodies", 300, playOversizedBody},
	{"pipelines", 300, playPipeline},
	{"unread-answers", 600, playUnread},
	{"slow-readers", 600, playSlowReader},
	{"half-way", 300, playHalfWay},
	{"brief", 300, playBrief},
}

// DocumentKinds are those at a listener that decodes JSON.
var DocumentKinds = append([]Kind{{"documents", 50, playDocuments}}, Kinds...)

// Chats are clients that send chats of legal size that are made of very many small messages.
var Chats = Kind{"chats", 50, playChats}

// Handshakes are clients that end connections right after the handshake.
var Handshakes = Kind{"handshakes", 100, playHandshakes}

// MessageKinds are the kinds of clients at a listener for calls between processes.
var MessageKinds = []Kind{
	{"silent", 4500, playSilent},
	{"half-messages", 3000, playHalfMessage},
	{"slow-messages", 1000, playSlowMessage},
	{"endless-bytes", 100, playZeroBytes},
	{"tiny-messages", 300, playTinyMessages},
	{"brief", 300, playBrief},
}

// playSilent sends nothing.
func playSilent(_ context.Context, c *client) { c.awaitEnd() }

// playSlowHead sends a head a byte at a time.
func playSlowHead(ctx context.Context, c *client) {
	for _, b := range c.head("GET", c.target.Path) + strings.Repeat("A: b\r\n", 1000) {
		if !c.send(string(b)) || !pause(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// playHalfHead stops in the middle of a head.
func playHalfHead(_ context.Context, c *client) {
	if c.send(c.head("GET", c.target.Path) + "X: " + strings.Repeat("x", 8<<10)) {
		c.awaitEnd()
	}
}

// playFields sends requests whose heads have very many short fields.
func playFields(c *client, fields int) {
	var b strings.Builder
	for n := range fields {
		b.WriteString(shortField(n))
	}
	go c.discard() // ends with the connection
	for c.send(c.head("GET", c.target.Path) + b.String() + "\r\n") {
	}
}

// shortField returns the line of a short field; no two have the same name.
func shortField(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	name := []byte{'q'}
	for range 3 {
		name = append(name, digits[n%len(digits)])
		n /= len(digits)
	}
	return string(name) + ":1\r\n"
}

// playLargeBody sends bodies of legal size, each in one piece.
func playLargeBody(_ context.Context, c *client) {
	go c.discard()
	body := strings.Repeat("x", LegalBodyBytes)
	for c.send(c.bodyHead()+fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes)) && c.send(body) {
	}
}

// playDocuments sends documents of legal size that are made of very many small objects.
func playDocuments(_ context.Context, c *client) {
	go c.discard()
	document := `{"version":1,"routes":[{}` + strings.Repeat(",{}", documentObjects) + `]}`
	for c.send(c.bodyHead()+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(document))) && c.send(document) {
	}
}

// playChats is playDocuments for a chat.
func playChats(_ context.Context, c *client) {
	go c.discard()
	chat := `{"model":"m","messages":[{}` + strings.Repeat(",{}", documentObjects) + `]}`
	for c.send(c.bodyHead()+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(chat))) && c.send(chat) {
	}
}

// playHandshakes opens connections with their handshakes, and closes them.
func playHandshakes(ctx context.Context, c *client) {
	for n := range 20 {
		conn, err := c.target.dial(ctx, c.number+n)
		if err == nil {
			reset(conn)
		}
		if !pause(ctx, 20*time.Millisecond) {
			return
		}
	}
}

// playPieces sends a body of legal size in small pieces.
func playPieces(ctx context.Context, c *client) {
	go c.discard()
	piece := strings.Repeat("x", pieceBytes)
	for c.send(c.bodyHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes)) {
		for sent := 0; sent < LegalBodyBytes; sent += pieceBytes {
			if !c.send(piece) || !pause(ctx, time.Millisecond) {
				return
			}
		}
	}
}

// playChunked sends bodies of legal size in chunks.
func playChunked(_ context.Context, c *client) {
	go c.discard()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4<<10, strings.Repeat("x", 4<<10))
	for c.send(c.bodyHead() + "Transfer-Encoding: chunked\r\n\r\n") {
		for range LegalBodyBytes / (4 << 10) {
			if !c.send(chunk) {
				return
			}
		}
		if !c.send("0\r\n\r\n") {
			return
		}
	}
}

// playStalledBody stops in the middle of a body.
func playStalledBody(_ context.Context, c *client) {
	if c.send(c.bodyHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*stalledBytes) + strings.Repeat("x", stalledBytes)) {
		c.awaitEnd()
	}
}

// playOneByteChunks sends a body without end in chunks of one byte.
func playOneByteChunks(_ context.Context, c *client) {
	go c.discard()
	if !c.send(c.bodyHead() + "Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	block := strings.Repeat("1\r\nx\r\n", 200)
	for c.send(block) {
	}
}

// playEndlessBody sends a body without end in large chunks.
func playEndlessBody(_ context.Context, c *client) {
	go c.discard()
	if !c.send(c.bodyHead() + "Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	block := fmt.Sprintf("%x\r\n%s\r\n", blockBytes, strings.Repeat("x", blockBytes))
	for c.send(block) {
	}
}

// playOversizedBody sends a body whose length is far over each limit.
func playOversizedBody(_ context.Context, c *client) {
	go c.discard()
	block := strings.Repeat("x", blockBytes)
	if !c.send(c.bodyHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", endlessLength)) {
		return
	}
	for c.send(block) {
	}
}

// playPipeline sends requests ahead and reads no answer.
func playPipeline(_ context.Context, c *client) {
	for {
		var block strings.Builder
		for range 50 {
			block.WriteString(c.head("GET", c.target.Path) + "\r\n")
		}
		if !c.send(block.String()) {
			return
		}
	}
}

// playUnread asks for large responses and reads none.
func playUnread(ctx context.Context, c *client) {
	if c.send(c.head("GET", c.unreadPath()) + "\r\n") {
		c.awaitEndUnread(ctx)
	}
}

// playSlowReader reads a large response very slowly.
func playSlowReader(ctx context.Context, c *client) {
	if !c.send(c.head("GET", c.unreadPath()) + "\r\n") {
		return
	}
	buffer := make([]byte, 10)
	for pause(ctx, 100*time.Millisecond) {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

func (c *client) unreadPath() string {
	if c.target.Unread != "" {
		return c.target.Unread
	}
	return c.target.Path
}

// playHalfWay closes the connection in the middle of a body.
func playHalfWay(ctx context.Context, c *client) {
	c.send(c.bodyHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes) + strings.Repeat("x", stalledBytes))
	pause(ctx, 20*time.Millisecond)
}

// playBrief opens a connection and closes it, again and again.
func playBrief(ctx context.Context, c *client) {
	for n := range 20 {
		conn, err := c.target.dial(ctx, c.number+n)
		if err != nil {
			return
		}
		reset(conn)
		if !pause(ctx, 5*time.Millisecond) {
			return
		}
	}
}
