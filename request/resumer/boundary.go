package resumer

// boundary tracks whether a stream is inside an event, without buffering it. Lines
// end with LF, CR or both.
type boundary struct {
	// inEvent is set if a line of an event has ended, but not the event.
	inEvent bool
	// inLine is set if a line has not ended, and comment if it is a comment.
	inLine  bool
	comment bool
	afterCR bool
}

func (b *boundary) feed(chunk []byte) {
	for _, char := range chunk {
		switch {
		case char == '\n' && b.afterCR:
		case char == '\n' || char == '\r':
			b.endLine()
		case !b.inLine:
			b.inLine, b.comment = true, char == ':'
		}
		b.afterCR = char == '\r'
	}
}

func (b *boundary) endLine() {
	switch {
	case !b.inLine:
		b.inEvent = false
	case !b.comment:
		b.inEvent = true
	}
	b.inLine, b.comment = false, false
}

func (b *boundary) insideEvent() bool { return b.inEvent || b.inLine }
