package cataloger

import "fmt"

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions where the account's requests may be processed; nil allows all, an empty list none.
	AllowedRegions []string
}

// AccountError reports a client account whose keys, or one of them, can't be used. It doesn't contain the key.
type AccountError struct {
	Account string
	Reason  string
}

func (e *AccountError) Error() string { return fmt.Sprintf("account %q: %s", e.Account, e.Reason) }

// indexKeys maps keys to their accounts. A key that doesn't identify exactly one account by its name admits nobody.
func (c *Catalog) indexKeys(accounts []Account) {
	shared := make(map[string]bool)
	for i := range accounts {
		a := &accounts[i]
		if a.Name == "" {
			c.faults = append(c.faults, &AccountError{Reason: "has no name"})
			continue
		}
		if allowsNoRegion(a.AllowedRegions) {
			c.faults = append(c.faults, &RegionError{Owner: "account " + a.Name})
		}
		for _, key := range a.Keys {
			owner, known := c.byKey[key]
			switch {
			case key == "":
				c.faults = append(c.faults, &AccountError{Account: a.Name, Reason: "has an empty key"})
			case known && owner.Name != a.Name:
				c.faults = append(c.faults, &AccountError{Account: a.Name, Reason: fmt.Sprintf("has a key of account %q", owner.Name)})
				shared[key] = true
			default:
				c.byKey[key] = a
			}
		}
	}
	for key := range shared {
		delete(c.byKey, key)
	}
}
