package member

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is what is known or claimed about a member.
type State uint8

// The states, in the order in which they win at equal sequence.
const (
	// Alive members take homes.
	Alive State = iota
	// Draining members finish their work and are no homes.
	Draining
	// Suspect members were not heard of for SuspectAfter.
	Suspect
	// Dead members were not heard of for DeadAfter.
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"alive", "draining", "suspect", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Record is what one daemon tells others about a member, possibly itself.
type Record struct {
	VM          string
	Zone        string
	PeerAddress string
	Incarnation string
	Sequence    uint64
	State       State
	// HomeEligible is true if the teller counts the member for homes.
	HomeEligible bool
	// Age is how long before the sending the member was last heard of.
	Age time.Duration
}

// ageUnit is the resolution of an age on the wire.
const ageUnit = 100 * time.Millisecond

// countedBit marks HomeEligible in the state on the wire.
const countedBit = 8

// MarshalJSON writes the record as an array, because heartbeats repeat it many
// times. Zone and address come last and are left out if the receiver can look
// them up in the register.
func (r Record) MarshalJSON() ([]byte, error) {
	flags := int(r.State)
	if r.HomeEligible {
		flags |= countedBit
	}
	fields := []any{r.VM, r.Incarnation, r.Sequence, flags, int64(r.Age / ageUnit)}
	if r.Zone != "" || r.PeerAddress != "" {
		fields = append(fields, r.Zone, r.PeerAddress)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Record) UnmarshalJSON(data []byte) error {
	var flags, age int64
	*r = Record{}
	fields := []any{&r.VM, &r.Incarnation, &r.Sequence, &flags, &age, &r.Zone, &r.PeerAddress}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if r.VM == "" || flags < 0 || flags&^countedBit > int64(Dead) || age < 0 {
		return fmt.Errorf("record of member %q has flags %d and age %d", r.VM, flags, age)
	}
	r.State = State(flags &^ countedBit)
	r.HomeEligible = flags&countedBit != 0
	r.Age = time.Duration(age) * ageUnit
	return nil
}

// WithoutAddress returns a copy without zone and address.
func (r Record) WithoutAddress() Record {
	r.Zone, r.PeerAddress = "", ""
	return r
}

// beats reports whether the record is newer than another one of the same VM.
func (r Record) beats(o Record) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.State > o.State
}

// verdict reports whether the record is the judgement of another daemon.
func (r Record) verdict() bool {
	return r.State >= Suspect
}
