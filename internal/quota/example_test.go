package quota_test

import (
	"context"
	"fmt"

	"curranthold.example/curranthold/internal/quota"
)

func ExampleManager_Take() {
	m := quota.New(quota.Config{Host: "host-1", Zone: "zone-1", Incarnation: 1})
	m.SetAccounts(map[string]quota.Limit{"parish": {Rate: 100, Burst: 50}})
	m.SetHosts([]quota.Host{{ID: "host-1", Zone: "zone-1", Address: "192.0.2.1:7400"}})

	permit, err := m.Take(context.Background(), "tower")
	fmt.Println(err)
	// The request was not sent to any backend server, so its token is returned.
	permit.Return()
	// Output: quota-unavailable (not-run): client account "tower" is not known here
}
