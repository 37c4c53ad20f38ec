package catalog

import "slices"

// maxEarlierVersions is how many versions before the one in force a catalog keeps the routes of: those
// of the last 5 s where one follows another every 0.33 s.
const maxEarlierVersions = 16

// KeepEarlier keeps the routes of an older catalog, and of those that it keeps, for At. It must be called
// before c is used.
func (c *Catalog) KeepEarlier(older *Catalog) {
	if older == nil {
		return
	}
	c.earlier = older.earlier
	if older.Config.Version == c.Config.Version {
		return
	}
	routes := &Catalog{Config: older.Config, Table: older.Table, SearchWorkloads: older.SearchWorkloads}
	c.earlier = append([]*Catalog{routes}, c.earlier[:min(len(c.earlier), maxEarlierVersions-1)]...)
}

// At returns the catalog with the routes of a version and the upstreams of c: c itself if it is of that
// version, nil if the version is not kept.
func (c *Catalog) At(version int) *Catalog {
	if version == c.Config.Version {
		return c
	}
	i := slices.IndexFunc(c.earlier, func(e *Catalog) bool { return e.Config.Version == version })
	if i < 0 {
		return nil
	}
	at := *c
	at.Config, at.Table, at.SearchWorkloads = c.earlier[i].Config, c.earlier[i].Table, c.earlier[i].SearchWorkloads
	return &at
}
