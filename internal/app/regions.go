package app

import "slices"

// domainsOf returns the failure domains of regions, in the order of the settings.
func (f *Front) domainsOf(regions []string) []string {
	var domains []string
	for _, domain := range f.settings.Limits.Domains {
		if slices.Contains(regions, f.config.Regions[domain]) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// domainsOf returns the failure domain of this instance, to whose upstreams alone it sends requests, if it is in one of the
// regions.
func (i *Instance) domainsOf(regions []string) []string {
	if !slices.Contains(regions, i.settings.Region) {
		return nil
	}
	return []string{i.settings.Domain}
}
