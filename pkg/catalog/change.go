package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Change sets and removes objects of a configuration. Diff computes it from two configurations.
type Change struct {
	// Set holds objects to add or replace.
	Set Configuration `json:"set"`
	// Remove names objects to remove, such as "account/tsagaan".
	Remove []string `json:"remove,omitempty"`
	// Reinstate names withdrawn versions to bring back into service, as "model/version".
	Reinstate []string `json:"reinstate,omitempty"`
}

// object is an object of a configuration with its full name, such as "account/tsagaan".
type object struct {
	name  string
	value any
}

// objects returns all objects of the configuration with their names. Diff, Apply, Objects and Encode call it.
func (c *Configuration) objects() []object {
	var list []object
	for _, v := range c.Accounts {
		list = append(list, object{"account/" + v.Name, v})
	}
	for _, v := range c.Models {
		list = append(list, object{"model/" + v.Name, v})
	}
	for _, v := range c.Cascades {
		list = append(list, object{"cascade/" + v.Name, v})
	}
	for _, v := range c.Services {
		list = append(list, object{"service/" + v.Name, v})
	}
	for _, v := range c.RollOuts {
		list = append(list, object{"roll_out/" + v.Model, v})
	}
	for _, v := range c.Withdrawals {
		list = append(list, object{withdrawalPrefix + v.Model + "/" + v.Version, v})
	}
	return list
}

// add appends an object to the list of its type. Diff and Apply call it.
func (c *Configuration) add(value any) {
	switch v := value.(type) {
	case ClientAccount:
		c.Accounts = append(c.Accounts, v)
	case Model:
		c.Models = append(c.Models, v)
	case Cascade:
		c.Cascades = append(c.Cascades, v)
	case Service:
		c.Services = append(c.Services, v)
	case RollOut:
		c.RollOuts = append(c.RollOuts, v)
	case Withdrawal:
		c.Withdrawals = append(c.Withdrawals, v)
	}
}

// Objects returns the names of the objects that the change touches, by which conflicting changes are found. It is called for
// each submission.
func (ch *Change) Objects() []string {
	var names []string
	for _, o := range ch.Set.objects() {
		names = append(names, o.name)
	}
	names = append(names, ch.Remove...)
	for _, v := range ch.Reinstate {
		names = append(names, withdrawalPrefix+v)
	}
	return names
}

// Encode returns the JSON of the named objects, by name, leaving out those that the configuration doesn't have.
// The audit trail compares it before and after a change.
func (c *Configuration) Encode(names []string) (map[string]json.RawMessage, error) {
	wanted := make(map[string]bool, len(names))
	for _, n := range names {
		wanted[n] = true
	}
	encoded := make(map[string]json.RawMessage, len(names))
	for _, o := range c.objects() {
		if !wanted[o.name] {
			continue
		}
		data, err := json.Marshal(o.value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.name, err)
		}
		encoded[o.name] = data
	}
	return encoded, nil
}

// Diff returns the change that turns from into to, except for what applying an outdated file must not undo:
// it removes no withdrawal, and it neither changes nor removes an existing rollout, which has commands of its own.
// The commands apply and diff call it.
func Diff(from, to Configuration) Change {
	var ch Change
	old := map[string]object{}
	for _, o := range from.objects() {
		old[o.name] = o
	}
	for _, o := range to.objects() {
		v, exists := old[o.name]
		delete(old, o.name)
		if exists && (isManaged(v.value) || reflect.DeepEqual(v.value, o.value)) {
			continue
		}
		ch.Set.add(o.value)
	}
	for _, o := range from.objects() {
		if _, gone := old[o.name]; gone && !isManaged(o.value) {
			ch.Remove = append(ch.Remove, o.name)
		}
	}
	return ch
}

// isManaged reports whether an existing object is changed only by its own commands, not by applying a file.
func isManaged(value any) bool {
	switch value.(type) {
	case Withdrawal, RollOut:
		return true
	default:
		return false
	}
}

// Apply returns the configuration with the change applied. configuration.Merge calls it for each submission. It fails if the
// change isn't permitted or the result is invalid.
func (ch *Change) Apply(c Configuration) (Configuration, error) {
	if err := ch.checkPermitted(&c); err != nil {
		return c, err
	}
	replaced := map[string]bool{}
	for _, name := range ch.Remove {
		replaced[name] = true
	}
	for _, name := range ch.Reinstate {
		replaced[withdrawalPrefix+name] = true
	}
	for _, o := range ch.Set.objects() {
		replaced[o.name] = true
	}
	var next Configuration
	for _, o := range c.objects() {
		if !replaced[o.name] {
			next.add(o.value)
		}
	}
	for _, o := range ch.Set.objects() {
		next.add(o.value)
	}
	next.Sort()
	return next, next.Validate()
}

// withdrawalPrefix begins the name of a withdrawal, before its model/version.
const withdrawalPrefix = "withdrawal/"

// checkPermitted returns an error if the change would lift a withdrawal without a reinstatement, reinstate a version
// that isn't withdrawn, or continue a halted rollout without a new run. Apply calls it.
func (ch *Change) checkPermitted(c *Configuration) error {
	var errs []error
	for _, name := range ch.Remove {
		if strings.HasPrefix(name, withdrawalPrefix) {
			errs = append(errs, fmt.Errorf("%s: a withdrawal is lifted by a reinstatement that names it", name))
		}
	}
	for _, name := range ch.Reinstate {
		model, version, _ := strings.Cut(name, "/")
		if !c.Withdrawn(model, version) {
			errs = append(errs, fmt.Errorf("reinstate %s: the version is not withdrawn", name))
		}
	}
	for _, r := range ch.Set.RollOuts {
		old, exists := c.FindRollOut(r.Model)
		halted := exists && old.State == RollOutHalted && old.Version == r.Version
		if halted && r.State != RollOutHalted && r.StartedAt <= old.StartedAt {
			errs = append(errs, fmt.Errorf("rollout %s/%s is halted: resume it or start a new one", r.Model, r.Version))
		}
	}
	return errors.Join(errs...)
}

// ParseChange decodes a change from JSON.
func ParseChange(data []byte) (Change, error) {
	var ch Change
	if err := json.Unmarshal(data, &ch); err != nil {
		return ch, fmt.Errorf("change: %w", err)
	}
	return ch, nil
}
