package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["stalelimit"] = staleLimit }

// awayFor is the longest time for which the site file's entries turn machines away.
const awayFor = 9 * time.Second

func staleLimit(d *deployment) (int, string) {
	front, keepers := d.startSmall(2)
	a, b := d.startServer("i-a1", "app"), d.startServer("i-a2", "app")
	office := tenant{Name: "office", Keys: []string{"key-office-1"}, Rate: 171, Burst: 171}
	d.store.put("op/config", manifest(1, []tenant{office}))
	d.awaitReady(front)
	// Planned work: two store machines are emptied and taken away, one after the other.
	for _, k := range keepers[:2] {
		d.store.put("op/retire/"+k.name, map[string]any{"duration_s": 8})
		end := time.Now().Add(20 * time.Second)
		for {
			if it, ok := d.store.get("status/retire/" + k.name); ok && string(it.Value) == `{"state":"completed"}` {
				break
			}
			if time.Now().After(end) {
				cannotRun("%s is not emptied", k.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		k.kill()
		time.Sleep(6 * time.Second)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	n := 0
	// Clients of the tenant send 60 requests a second.
	tick := time.NewTicker(time.Second / 60)
	defer tick.Stop()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			n++
			id, m := fmt.Sprint("q-", n), front[n%len(front)]
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			clients.Go(func() { d.send(m, request{id: id, method: "GET", path: "/safe/1", key: "key-office-1"}) })
		}
	}()
	time.Sleep(2 * time.Second)
	if d.trouble {
		keepers[2].door.away.Store(true)
		d.record("the store turns %s away for %v", keepers[2].name, awayFor)
		time.AfterFunc(awayFor, func() { keepers[2].door.away.Store(false); d.record("the store serves %s again", keepers[2].name) })
	}
	time.Sleep(200 * time.Millisecond)
	office.Rate, office.Burst = 4, 4
	confirmed := d.store.put("op/config", manifest(2, []tenant{office}))
	d.record("manifest 2 confirmed: 4 requests a second instead of 171")
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	// The front machines are in touch all the while, so that the lower limit binds from
	// config_ms and one window after its confirmation.
	window := 5 * time.Second
	bind := confirmed.Add(2*time.Second + window)
	limit := (4*window.Seconds()+4)*1.1 + 20
	most, from := 0, time.Time{}
	runs := allRuns(a, b)
	for _, first := range runs {
		start := sent[first.id]
		if start.Before(bind) {
			continue
		}
		count := 0
		for _, r := range runs {
			if s := sent[r.id]; !s.Before(start) && !r.at.After(start.Add(window)) {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	text := fmt.Sprintf("%d requests were sent and ran in the 5 s from %.2f s after the confirmation; %.1f are allowed", most, from.Sub(confirmed).Seconds(), limit)
	if float64(most) > limit {
		return broken, "QUOTA broken: " + text
	}
	return held, "QUOTA held: " + text
}
