package forward

import (
	"github.com/wigeonladder/wigeonladder"
	"github.com/wigeonladder/wigeonladder/admission"
	"github.com/wigeonladder/wigeonladder/route"
)

// JudgeHead decides by its head whether a call is refused without reading its body, which
// has the given number of bytes, -1 if that is not known. It returns the workspace of the
// call if the head tells it. A call that passes is judged again once it is read.
func (f *Forwarder) JudgeHead(c *wigeonladder.Call, bodyBytes int) (workspace string, err *wigeonladder.Error) {
	t := f.options.TableStore.Table()
	if t == nil {
		return "", nil
	}
	// A call that matches no route, or whose key is unknown, is refused once it is read.
	m, matchErr := t.Match(c)
	if matchErr == nil && f.options.Gate != nil {
		err = f.options.Gate.HopelessRefusal(headOf(c, m, bodyBytes))
	}
	return m.Workspace, err
}

// headOf returns what the head of a call tells.
func headOf(c *wigeonladder.Call, m route.Match, bodyBytes int) admission.Head {
	return admission.Head{Workspace: m.Workspace, TargetLatency: m.Route.TargetLatency, TimeLeft: c.Timeout, BodyBytes: bodyBytes}
}
