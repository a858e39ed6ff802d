package config

import (
	"math"
	"time"
)

// Deployment holds the settings of a program on which the effect of a configuration
// depends.
type Deployment struct {
	// Entry is set for an entry instance. A control replica forwards no flows, so that its
	// link and its price are not considered.
	Entry bool
	// UploadTime returns how long an upload of a size in bytes takes alone on the link. It
	// is nil if the link has no limit: uploads are then neither queued nor refused.
	UploadTime func(bytes int) time.Duration
	// ColdLimit returns the limit on the new flows in any one second of a cold backend
	// server that can process perSecond requests. It is nil if no limit is in force.
	ColdLimit func(perSecond float64) int
	// ZonePrice is how much waiting is accepted to save one kilobyte between availability
	// zones, or 0 if only time counts.
	ZonePrice time.Duration
}

// The codes of findings that depend on a Deployment.
const (
	ColdLimitNotInForce   Code = "coldLimitNotInForce"
	ColdBoundWithoutLimit Code = "coldBoundWithoutLimit"
	ColdServerGetsNothing Code = "coldServerGetsNothing"
	UploadsNotScheduled   Code = "uploadsNotScheduled"
	UploadAboveTimeout    Code = "uploadAboveTimeout"
	UploadAboveObjective  Code = "uploadAboveObjective"
	PriceAboveObjective   Code = "priceAboveObjective"
)

const (
	// LargestUpload is the largest upload that is planned for, and meanUpload the mean, in
	// bytes.
	LargestUpload = 240_000
	meanUpload    = 40_000
	// pricedRequest is the size of a request other than an upload for which a price is
	// compared with an objective. It is about the mean size of requests with a body.
	pricedRequest = 1000
)

// LintOn returns the findings of Lint and those that depend on the settings of a program.
// Findings of Lint that assume settings are replaced by those that follow from d.
func (c Configuration) LintOn(d Deployment, incomplete bool) []Finding {
	return c.lint(&d, incomplete)
}

// uploadAlone returns how long the largest upload takes alone on the link of an entry
// instance, or 0 if that is unknown.
func (d *Deployment) uploadAlone() time.Duration {
	if d == nil || !d.Entry || d.UploadTime == nil {
		return 0
	}
	return d.UploadTime(LargestUpload).Round(time.Millisecond)
}

// upload adds the warnings about a route of uploads.
func (d *Deployment) upload(f *finder, r Route) {
	if d != nil && d.Entry && d.UploadTime == nil {
		f.add(Warning, UploadsNotScheduled, KindField,
			"the settings have no limit of the link: uploads are neither queued nor refused")
	}
	shortest, alone := MinUploadTimeout, d.uploadAlone()
	if alone > 0 {
		shortest = 2 * alone
	}
	switch {
	case alone > r.Timeout:
		f.add(Warning, UploadAboveTimeout, TimeoutField,
			"an upload of %d B takes %v alone on the link of the settings, above the timeout %v", LargestUpload, alone, r.Timeout)
		return
	case r.Timeout < shortest:
		f.add(Warning, ShortUploadTimeout, TimeoutField,
			"the timeout %v of uploads is below %v: large uploads may not be completed", r.Timeout, shortest)
	}
	if r.Objective > 0 && alone > r.Objective {
		f.add(Warning, UploadAboveObjective, ObjectiveField,
			"an upload of %d B takes %v alone on the link of the settings, above the objective %v", LargestUpload, alone, r.Objective)
	}
}

// price adds a warning if the price of one request alone is as long as the objective: by
// then the request is late, wherever it is sent.
func (d *Deployment) price(f *finder, r Route) {
	if d == nil || !d.Entry || r.Objective <= 0 {
		return
	}
	bytes := pricedRequest
	if r.Kind == Upload {
		bytes = meanUpload
	}
	if price := d.ZonePrice / 1000 * time.Duration(bytes); price >= r.Objective {
		f.add(Warning, PriceAboveObjective, ObjectiveField,
			"the price of traffic between zones in the settings makes %v for a request of %d B, not below the objective %v: "+
				"no flow leaves its zone in time", price, bytes, r.Objective)
	}
}

// cold adds the warnings about a limit for cold backend servers.
func (d *Deployment) cold(f *finder, l ColdLimit) {
	if l.Start <= 0 || !InRange(l.Start) || !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1) {
		return // never cold, or an error
	}
	switch {
	case d.ColdLimit == nil:
		f.add(Warning, ColdLimitNotInForce, ColdPerSecondField,
			"the settings have no bound for cold backend servers: no limit is in force")
	case d.ColdLimit(l.PerSecond) < 1:
		f.add(Warning, ColdServerGetsNothing, ColdPerSecondField,
			"with %v a second, the bound of the settings is below 1: a backend server gets no new flows for %v after its start",
			l.PerSecond, l.Start)
	}
}
