package standin

import (
	"cmp"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
)

// Options configures one emulated endpoint.
type Options struct {
	ID          fleet.EndpointID
	Incarnation fleet.Incarnation // 0: from the clock
	Zone        fleet.AvailabilityZone
	Role        fleet.EndpointRole
	Models      []engineapi.ModelRef
	Service     string // plain only
	Software    string // version that it announces; empty: none
	Slots       int    // 0: 20
	KVBytes     int64  // 0: bounded by slots alone
	Timing      Timing

	Listen      string   // host:port; empty: no listener, use Handler
	Advertise   string   // host:port that others use; empty: the listener's
	Entries     []string // endpoint listeners of daemons; empty: no announcement
	EndpointKey string   // the fleet's key, sent with messages to daemons

	ChecksFencingTokens bool            // refuses orders with an old fencing token
	FreeOnDisconnect    bool            // frees a request when its connection ends
	RefuseLeaving       bool            // refuses new work once Leave was called
	CrashMarker         string          // a prompt or body that contains it ends the process; empty: none
	CrashStage          engineapi.Stage // StagePrefill, StageDecode or StageCall
	Faults              Faults          // at the start
	MaxAttemptRecords   int             // limit of the attempts, and of the plain calls, in the audit; 0: 200000
	AuditDir            string          // where a process that Faults.Crash ends writes its audit; empty: none

	Part logging.Part
	// Exit ends the process; nil: os.Exit.
	Exit func(code int)
	// Transport carries calls to other endpoints and daemons; nil: TCP.
	Transport http.RoundTripper
}

const (
	defaultSlots      = 20
	defaultMaxRecords = 200_000
	crashCode         = 3 // exit code after a crash marker or Faults.Crash
)

func (o Options) withDefaults() Options {
	o.Timing = o.Timing.withDefaults()
	o.Incarnation = cmp.Or(o.Incarnation, fleet.Incarnation(time.Now().UnixMicro()))
	o.Role = cmp.Or(o.Role, fleet.RoleBoth)
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.MaxAttemptRecords = cmp.Or(o.MaxAttemptRecords, defaultMaxRecords)
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: o.Slots, IdleConnTimeout: time.Minute}
	}
	return o
}

func (o Options) check() error {
	if o.ID == "" {
		return trace.BadParameter("stand-in endpoint without an ID")
	}
	switch o.Role {
	case fleet.RolePlain, fleet.RolePrefill, fleet.RoleDecode, fleet.RoleBoth:
		return nil
	}
	return trace.BadParameter("stand-in endpoint %q has an unknown role %q", o.ID, o.Role)
}
