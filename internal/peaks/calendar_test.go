package peaks

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func loadZone(t testing.TB, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// quincena is the 15th and the last of the month, at 18:00 for three hours.
func quincena(t testing.TB) Peak {
	return Peak{
		Name: "quincena", Days: Days{OfMonth: []int{15, 0}}, At: 18 * time.Hour, Zone: loadZone(t, "America/Mexico_City"),
		Length: 3 * time.Hour, Ramp: 5 * time.Minute, Lead: 2 * time.Minute, Early: 10 * time.Minute,
		Classes: []bool{true, true}, Factor: 2, Probability: 0.9, MaxHarm: 0.1,
	}
}

func TestBetween(t *testing.T) {
	berlin := loadZone(t, "Europe/Berlin")
	for name, e := range map[string]struct {
		peak        Peak
		from, until string
		want        string
	}{
		"quincena": {quincena(t), "2026-01-31T00:00:00Z", "2026-04-01T12:00:00Z",
			"2026-01-31 18:00 2026-02-15 18:00 2026-02-28 18:00 2026-03-15 18:00 2026-03-31 18:00"},
		"a leap year":       {quincena(t), "2028-02-20T00:00:00Z", "2028-03-10T00:00:00Z", "2028-02-29 18:00"},
		"in its window":     {quincena(t), "2026-05-15T23:50:00Z", "2026-05-15T23:51:00Z", "2026-05-15 18:00"},
		"while it runs":     {quincena(t), "2026-05-16T02:59:00Z", "2026-05-16T02:59:01Z", "2026-05-15 18:00"},
		"as it goes":        {quincena(t), "2026-05-16T03:04:59Z", "2026-05-16T04:00:00Z", "2026-05-15 18:00"},
		"when it has gone":  {quincena(t), "2026-05-16T03:05:00Z", "2026-05-16T04:00:00Z", ""},
		"before its window": {quincena(t), "2026-05-15T23:00:00Z", "2026-05-15T23:48:00Z", ""},
		"weekly": {Peak{Days: Days{Weekdays: [7]bool{time.Friday: true, time.Saturday: true}}, At: 20 * time.Hour, Zone: berlin, Length: time.Hour},
			"2026-05-13T00:00:00Z", "2026-05-20T00:00:00Z", "2026-05-15 20:00 2026-05-16 20:00"},
		"dates": {Peak{Days: Days{Dates: []Day{{2026, 12, 24}}}, At: 0, Zone: berlin, Length: time.Hour},
			"2026-01-01T00:00:00Z", "2027-12-31T00:00:00Z", "2026-12-24 00:00"},
		// The clocks are put forward from 02:00 to 03:00 on 2026-03-29, and back from
		// 03:00 to 02:00 on 2026-10-25.
		"a time left out": {Peak{Days: Days{Daily: true}, At: 2*time.Hour + 30*time.Minute, Zone: berlin, Length: time.Hour},
			"2026-03-28T00:00:00Z", "2026-03-30T12:00:00Z", "2026-03-28 02:30 2026-03-29 03:30 2026-03-30 02:30"},
		"a time twice": {Peak{Days: Days{Daily: true}, At: 2*time.Hour + 30*time.Minute, Zone: berlin, Length: time.Minute},
			"2026-10-24T23:00:00Z", "2026-10-26T00:00:00Z", "2026-10-25 02:30"},
		"over midnight": {Peak{Days: Days{Daily: true}, At: 23 * time.Hour, Zone: berlin, Length: 4 * time.Hour},
			"2026-05-16T00:30:00Z", "2026-05-16T00:31:00Z", "2026-05-15 23:00"},
	} {
		parse := func(s string) time.Time {
			v, err := time.Parse(time.RFC3339, s)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
		c := Calendar{Peaks: []Peak{e.peak}}
		var got []string
		for _, o := range c.Between(parse(e.from), parse(e.until)) {
			got = append(got, o.Begin.Format("2006-01-02 15:04"))
		}
		if s := strings.Join(got, " "); s != e.want {
			t.Errorf("%s: %s, want %s", name, s, e.want)
		}
	}
	// Of a time that is twice it is the first.
	if got := localTime(time.Date(2026, 10, 25, 0, 0, 0, 0, time.UTC), 150*time.Minute, berlin); !got.Equal(time.Date(2026, 10, 25, 0, 30, 0, 0, time.UTC)) {
		t.Error(got)
	}
}

func TestLevel(t *testing.T) {
	p := quincena(t)
	c := Calendar{Peaks: []Peak{p}}
	o := c.Between(time.Date(2026, 5, 15, 0, 0, 0, 0, time.UTC), time.Date(2026, 5, 16, 6, 0, 0, 0, time.UTC))[0]
	for after, want := range map[time.Duration]float64{
		-time.Second: 0, 0: 0, 150 * time.Second: 0.5, 5 * time.Minute: 1, 3*time.Hour - 1: 1, 3 * time.Hour: 1,
		3*time.Hour + time.Minute: 0.8, 3*time.Hour + 5*time.Minute: 0,
	} {
		if got := o.Level(o.Begin.Add(after)); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%v: %v, want %v", after, got, want)
		}
	}
	sharp := p
	sharp.Ramp = 0
	o.Peak = &sharp
	if o.Level(o.Begin) != 1 || o.Level(o.End) != 0 {
		t.Error("without a ramp")
	}
}

// What a peak brings beyond the ordinary goes by its classes, and is never less
// than nothing.
func TestClassExtraRate(t *testing.T) {
	for i, e := range []struct {
		peak Peak
		want string
	}{
		{Peak{Classes: []bool{true, false}, Factor: 3}, "4.0 0.0"},
		{Peak{Classes: []bool{true, true}, Factor: 0.5}, "0.0 0.0"},
		{Peak{Classes: []bool{true, true}, ExtraRate: 9}, "3.0 6.0"},
		{Peak{Classes: []bool{true}, ExtraRate: 9}, "3.0 0.0"},
	} {
		if got := fmt.Sprintf("%.1f %.1f", e.peak.ClassExtraRate(0, 2, 1./3), e.peak.ClassExtraRate(1, 4, 2./3)); got != e.want {
			t.Errorf("%d: %s, want %s", i, got, e.want)
		}
	}
}
