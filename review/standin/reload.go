package main

import (
	"syscall"
	"time"
)

const (
	// outageTime is how long the store answers nothing.
	outageTime = 4500 * time.Millisecond
	// reloadFronts is the number of instances, of which reloaded get signals.
	reloadFronts = 7
	reloaded     = 2
	// reloads is the number of signals to each of these, and reloadPause the time between two.
	reloads     = 3
	reloadPause = 1300 * time.Millisecond
)

func init() { cases["reload"] = playReload }

// playReload starts instances and tells two of them three times that their settings have changed. With the trouble, the store
// is silent meanwhile.
func playReload(s *site) (bool, error) {
	s.store.put("op/config", configuration(7))
	if s.trouble {
		s.record.note("the store is silent")
		s.store.setFault(storeSilent)
		time.AfterFunc(outageTime, func() {
			s.store.setFault(storeNormal)
			s.record.note("the store answers again")
		})
	}
	for range reloadFronts {
		f, err := s.addFront()
		if err != nil {
			return false, err
		}
		if err := f.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	for range reloads {
		for _, f := range s.fronts[:reloaded] {
			f.signal(syscall.SIGHUP)
		}
		time.Sleep(reloadPause)
	}
	time.Sleep(2 * time.Second)
	if err := s.addEngine(&engine{
		id: "i-1", zone: zones[0], version: "v1", service: modelService,
	}); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	machines := 0
	for _, f := range s.fronts {
		s.record.note("%s ended by itself %d times", f.name, f.ended())
		if f.ended() >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}
