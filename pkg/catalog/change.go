package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Change sets and removes objects of a configuration. Operators' tools compute it with Diff.
type Change struct {
	// Set holds objects that are new or replaced.
	Set Configuration `json:"set"`
	// Remove names objects, such as "account/tsagaan".
	Remove []string `json:"remove,omitempty"`
	// Reinstate names withdrawn versions, such as "model/version", that come back into service.
	Reinstate []string `json:"reinstate,omitempty"`
}

// object is one named element of a configuration.
type object struct {
	name  string
	value any
}

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
		list = append(list, object{"withdrawal/" + v.Model + "/" + v.Version, v})
	}
	return list
}

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

// Objects names what the change touches.
func (ch *Change) Objects() []string {
	var names []string
	for _, o := range ch.Set.objects() {
		names = append(names, o.name)
	}
	names = append(names, ch.Remove...)
	for _, v := range ch.Reinstate {
		names = append(names, "withdrawal/"+v)
	}
	return names
}

// Diff returns the change that turns from into to. Withdrawals are only added: a reinstatement has to name them.
func Diff(from, to Configuration) Change {
	var ch Change
	old := map[string]any{}
	for _, o := range from.objects() {
		old[o.name] = o.value
	}
	for _, o := range to.objects() {
		if v, ok := old[o.name]; !ok || !reflect.DeepEqual(v, o.value) {
			ch.Set.add(o.value)
		}
		delete(old, o.name)
	}
	for _, o := range from.objects() {
		if _, gone := old[o.name]; !gone {
			continue
		}
		if _, isWithdrawal := o.value.(Withdrawal); !isWithdrawal {
			ch.Remove = append(ch.Remove, o.name)
		}
	}
	return ch
}

// Apply returns the configuration with the change made, validated.
func (ch *Change) Apply(c Configuration) (Configuration, error) {
	drop := map[string]bool{}
	for _, name := range ch.Remove {
		drop[name] = true
	}
	for _, name := range ch.Reinstate {
		drop["withdrawal/"+name] = true
	}
	for _, o := range ch.Set.objects() {
		drop[o.name] = true
	}
	var next Configuration
	for _, o := range c.objects() {
		if !drop[o.name] {
			next.add(o.value)
		}
	}
	for _, o := range ch.Set.objects() {
		next.add(o.value)
	}
	next.Sort()
	return next, next.Validate()
}

// ParseChange reads a change as JSON.
func ParseChange(data []byte) (Change, error) {
	var ch Change
	if err := json.Unmarshal(data, &ch); err != nil {
		return ch, fmt.Errorf("change: %w", err)
	}
	return ch, nil
}
