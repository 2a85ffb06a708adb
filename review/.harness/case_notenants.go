package main

import (
	"fmt"
	"time"
)

func init() { cases["notenants"] = noTenants }

func noTenants(d *deployment) (int, string) {
	front, _ := d.startSmall(2)
	a, b := d.startServer("i-a1", "app"), d.startServer("i-a2", "app")
	office := tenant{Name: "office", Keys: []string{"key-office-1"}, Rate: 100, Burst: 100}
	d.store.put("op/config", manifest(1, []tenant{office}))
	d.awaitReady(front)
	for i, m := range front {
		if got := d.send(m, request{id: fmt.Sprint("before-", i), method: "POST", path: "/once/1", key: "key-office-1", body: "x"}); got.status != 200 {
			cannotRun("status %d", got.status)
		}
	}
	tenants := []tenant{office}
	if d.trouble {
		tenants = []tenant{}
	}
	confirmed := d.store.put("op/config", manifest(2, tenants))
	d.record("manifest 2 confirmed, %d tenants", len(tenants))
	time.Sleep(time.Until(confirmed.Add(8 * time.Second)))
	for i, m := range front {
		d.send(m, request{id: fmt.Sprint("after-", i), method: "POST", path: "/once/1", key: "key-office-1", body: "x"})
	}
	d.send(front[0], request{id: "nobody", method: "POST", path: "/once/1", key: "key-that-no-manifest-held", body: "x"})
	n, nobody := 0, 0
	for _, r := range allRuns(a, b) {
		switch {
		case r.id == "nobody":
			nobody++
		case d.trouble && r.at.After(confirmed.Add(5*time.Second)):
			n++
		}
	}
	if n > 0 {
		return broken, fmt.Sprintf("CONFIG broken: %d requests with a key that was taken away ran, sent 8 s after the confirmation; revoke_ms is 5000 (ROUTE: %d requests with a key that no manifest ever held ran)", n, nobody)
	}
	return held, fmt.Sprintf("CONFIG held (ROUTE: %d requests with a key that no manifest ever held ran)", nobody)
}
