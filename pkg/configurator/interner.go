package configurator

import (
	"slices"
	"strings"
)

// interner deduplicates the strings and lists that many records of a shard
// repeat, to save memory.
type interner struct {
	texts map[string]string
	lists map[string][]string
}

func newInterner() *interner {
	return &interner{
		texts: map[string]string{},
		lists: map[string][]string{},
	}
}

// intern replaces equal references to teams, models and batches among the records
// of a shard by one shared copy.
func intern[T record](records []T) {
	i := newInterner()
	for index := range records {
		switch value := any(&records[index]).(type) {
		case *Adapter:
			value.Model = i.internString(value.Model)
			value.Teams = i.internList(value.Teams)
			value.Batch = i.internString(value.Batch)
		case *Key:
			value.Team = i.internString(value.Team)
			value.Batch = i.internString(value.Batch)
		case *Version:
			value.Model = i.internString(value.Model)
			value.Batch = i.internString(value.Batch)
		}
	}
}

// internString returns the shared copy of a string.
func (i *interner) internString(text string) string {
	shared, ok := i.texts[text]
	if !ok {
		i.texts[text] = text
		return text
	}
	return shared
}

// internList returns the shared copy of a list. Different lists can have the same
// map key, if a name contains the separator; those are not shared.
func (i *interner) internList(list []string) []string {
	if len(list) == 0 {
		return list
	}
	key := strings.Join(list, "\n")
	shared, ok := i.lists[key]
	if !ok {
		for index, text := range list {
			list[index] = i.internString(text)
		}
		shared = slices.Clip(list)
		i.lists[key] = shared
	}
	if !slices.Equal(shared, list) {
		return list
	}
	return shared
}
