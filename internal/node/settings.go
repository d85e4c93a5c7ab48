package node

import (
	"sync"

	"swiftdeal/balance"
	"swiftdeal/internal/dispatch"
	"swiftdeal/internal/settings"
)

// settingsInForce holds the settings of the dispatcher, including all classes that have existed: a class keeps its index
// for the lifetime of the process. It is safe for concurrent use.
type settingsInForce struct {
	mu         sync.Mutex
	settings   settings.Settings
	dispatcher *dispatch.Dispatcher
}

// apply applies settings, or leaves the current ones in force and returns an error. It returns the merged settings and
// the indexes of the classes that requests may name, by class name.
func (s *settingsInForce) apply(to settings.Settings) (settings.Settings, map[string]int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged, indexes := s.settings.Merge(to)
	if err := s.dispatcher.Reconfigure(merged.Balance); err != nil {
		return merged, nil, err
	}
	s.settings = merged
	return merged, indexes, nil
}

// class returns the class with the given index.
func (s *settingsInForce) class(index int) balance.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Balance.Classes[index]
}

// classIndex returns the index of a class, and adds the class if it does not exist. Only imported requests need that.
func (s *settingsInForce) classIndex(class balance.Class) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.settings
	to.Balance.Classes = []balance.Class{class}
	merged, indexes := s.settings.Merge(to)
	if len(merged.Balance.Classes) > len(s.settings.Balance.Classes) {
		if err := s.dispatcher.Reconfigure(merged.Balance); err != nil {
			return 0, err
		}
		s.settings = merged
	}
	return indexes[class.Name], nil
}

// byClassName maps values given by class index to class names.
func (s *settingsInForce) byClassName(values []int) map[string]int {
	s.mu.Lock()
	names := s.settings.ClassNames()
	s.mu.Unlock()
	named := map[string]int{}
	for i, value := range values[:min(len(values), len(names))] {
		named[names[i]] = value
	}
	return named
}
