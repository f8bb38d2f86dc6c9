package endpointlimit

import "time"

// keptIdle is how long an account is kept that nobody asks for. A new one has by then
// earned as much.
const keptIdle = time.Minute

// Ledger is one keeper's parts of endpoints' limits. It is not safe for concurrent use.
type Ledger struct {
	began    time.Time
	accounts map[Endpoint]*account
	tidied   time.Time
}

// NewLedger makes the Ledger of a keeper that begins now: what the one before it gave is
// not known, so it has saved up nothing.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{began: now, accounts: map[Endpoint]*account{}, tidied: now}
}

// Taken is the answer to an entry that asks for leave.
type Taken struct {
	Granted bool
	Again   time.Duration // when there may be leave again, where it wasn't granted
	Heard   Heard         // the newest that is known; not limited: no leave is needed
}

// Take takes leave for one request to an endpoint, of whose limit the keeper has
// a part. heard is what the asker knows of it.
func (l *Ledger) Take(now time.Time, e Endpoint, heard Heard, p Part) Taken {
	a := l.account(now, e, heard, p)
	if !a.heard.Limited {
		return Taken{Heard: a.heard}
	}
	a.fill(now, p)
	granted, again := a.take(p)
	return Taken{Granted: granted, Again: again, Heard: a.heard}
}

// Told takes in what an entry knows of an endpoint's limit.
func (l *Ledger) Told(now time.Time, e Endpoint, heard Heard, p Part) {
	l.account(now, e, heard, p)
}

func (l *Ledger) account(now time.Time, e Endpoint, heard Heard, p Part) *account {
	l.forgetIdle(now)
	a := l.accounts[e]
	if a == nil {
		a = newAccount(now, l.began, heard, p)
		l.accounts[e] = a
	}
	a.asked = now
	a.heard.newer(heard)
	return a
}

func (l *Ledger) forgetIdle(now time.Time) {
	if now.Sub(l.tidied) < keptIdle {
		return
	}
	l.tidied = now
	for e, a := range l.accounts {
		if now.Sub(a.asked) > keptIdle {
			delete(l.accounts, e)
		}
	}
}
