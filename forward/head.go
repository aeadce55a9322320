package forward

import (
	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/route"
)

// HeadOf returns what the head of a call tells, whose body has the given number of bytes,
// -1 if that is not known.
func HeadOf(c *wigeonladder.Call, m route.Match, bodyBytes int) admission.Head {
	return admission.Head{Workspace: m.Workspace, TargetLatency: m.Route.TargetLatency, TimeLeft: c.Timeout, BodyBytes: bodyBytes}
}
