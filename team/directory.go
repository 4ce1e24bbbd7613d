package team

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"slices"
)

// Definition is a team with its API keys, as operators define it.
type Definition struct {
	Team
	APIKeys []string
}

// Directory finds teams by API key. It is immutable.
type Directory struct {
	salt   [32]byte
	byHash map[[sha256.Size]byte]Team
	byName map[string]Team
}

// NewDirectory validates and indexes definitions. It returns ErrInvalid or ErrSharedKey, neither of which contains a key.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byHash: map[[sha256.Size]byte]Team{}, byName: make(map[string]Team, len(definitions))}
	_, _ = rand.Read(d.salt[:]) // never fails
	for _, definition := range definitions {
		if err := d.add(definition); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(definition Definition) error {
	name := definition.Name
	invalid := func(reason string) error { return ErrInvalid{Team: name, Reason: reason} }
	switch _, exists := d.byName[name]; {
	case name == "":
		return invalid("it has no name")
	case exists:
		return invalid("another team has its name")
	case definition.Cap.PerSecond < 0 || definition.Cap.Burst < 0 || definition.Cap.PlainTokens < 0:
		return invalid("a number of its cap is below zero")
	}
	d.byName[name] = definition.Team
	for _, key := range definition.APIKeys {
		if key == "" {
			return invalid("one of its API keys is empty")
		}
		hash := d.hash(key)
		if owner, exists := d.byHash[hash]; exists && owner.Name != name {
			return ErrSharedKey{Teams: [2]string{owner.Name, name}}
		}
		d.byHash[hash] = definition.Team
	}
	return nil
}

// hash returns the salted hash of a key. Comparing hashes takes a time that doesn't depend on how much of a key is right.
func (d *Directory) hash(key string) [sha256.Size]byte {
	return sha256.Sum256(append(slices.Clone(d.salt[:]), key...))
}

// Lookup returns the team that holds an API key.
func (d *Directory) Lookup(key string) (Team, bool) {
	hash := d.hash(key)
	found, ok := d.byHash[hash]
	return found, ok
}

// Team returns the team with the given name.
func (d *Directory) Team(name string) (Team, bool) {
	found, ok := d.byName[name]
	return found, ok
}

// Teams returns all teams, sorted by name.
func (d *Directory) Teams() []Team {
	teams := make([]Team, 0, len(d.byName))
	for _, t := range d.byName {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}
