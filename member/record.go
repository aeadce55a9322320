package member

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a member, as the member itself or another daemon
// reports it.
type State uint8

// The states, in ascending order of precedence between records of equal
// sequence.
const (
	// Alive members may be homes.
	Alive State = iota
	// Draining members finish their work and cannot be homes.
	Draining
	// Suspect members have not been heard of for SuspectAfter.
	Suspect
	// Dead members have not been heard of for DeadAfter.
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
	// HomeEligible is true if the sender considers the member eligible as a
	// home.
	HomeEligible bool
	// Age is the time from the last sign of life of the member to the sending
	// of the record.
	Age time.Duration
}

// ageUnit is the resolution of an age on the wire.
const ageUnit = 100 * time.Millisecond

// homeEligibleBit is the bit of the flags on the wire that carries
// HomeEligible; the lower bits carry the state.
const homeEligibleBit = 8

// MarshalJSON writes the record as an array without field names, because a
// heartbeat carries many records. Zone and address come last and are omitted if
// the receiver can look them up in the register.
func (r Record) MarshalJSON() ([]byte, error) {
	flags := int(r.State)
	if r.HomeEligible {
		flags |= homeEligibleBit
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
	if r.VM == "" || flags < 0 || flags&^homeEligibleBit > int64(Dead) || age < 0 {
		return fmt.Errorf("record of member %q has flags %d and age %d", r.VM, flags, age)
	}
	r.State = State(flags &^ homeEligibleBit)
	r.HomeEligible = flags&homeEligibleBit != 0
	r.Age = time.Duration(age) * ageUnit
	return nil
}

// WithoutAddress returns a copy without zone and address.
func (r Record) WithoutAddress() Record {
	r.Zone, r.PeerAddress = "", ""
	return r
}

// supersedes reports whether the record replaces another one of the same VM.
func (r Record) supersedes(o Record) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.State > o.State
}

// isAccusation reports whether the record is another daemon's judgement that
// the member has failed. A member never calls itself suspect or dead.
func (r Record) isAccusation() bool {
	return r.State >= Suspect
}
