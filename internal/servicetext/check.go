package servicetext

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// checkReferences checks the names that one section uses of another.
func (t *textReader) checkReferences() {
	for _, use := range t.centreUses {
		if len(t.text.DataCentres) == 0 {
			break // the missing section is reported already
		}
		if use.name != "" && !slices.Contains(t.text.DataCentres, use.name) {
			t.report(use.at, "is not a listed data centre", "add it to data-centres or use a listed one")
		}
	}
	for i := range t.text.Services {
		t.checkService(&t.text.Services[i], &t.serviceAt[i])
	}
}

func (t *textReader) checkService(s *entity.Service, at *servicePlaces) {
	for _, use := range at.depends {
		if _, known := t.serviceByID[use.name]; !known {
			t.report(use.at, "is not a listed service", "add the service or remove the dependency")
		}
	}
	engines := t.checkPools(at.pools)
	if len(at.pools) == 0 {
		return
	}
	t.checkModels(engines, at.models)
	// Both deliveries run the request a second time after an engine is lost.
	if engines && !s.Repeatable && s.Delivery != entity.DeliverError && s.Delivery != "" {
		t.report(at.delivery, "repeats the work of a service with repeatable: false", "use delivery error or repeatable: true")
	}
}

// checkPools reports unknown pools and a mix of plain and engine pools, and tells
// whether the service's first known pool holds engines.
func (t *textReader) checkPools(uses []reference) (engines bool) {
	first := ""
	for _, use := range uses {
		i, known := t.poolIndex[use.name]
		if !known {
			t.report(use.at, "is not a listed pool", "add the pool or use a listed one")
			continue
		}
		isEngine := t.text.Pools[i].Kind != entity.KindPlain
		if first == "" {
			first, engines = use.name, isEngine
		} else if isEngine != engines && t.text.Pools[i].Kind != "" {
			t.report(use.at, fmt.Sprintf("mixes plain and engine pools in one service (%s is of the other sort)", first),
				"make two services, one for each sort")
		}
	}
	return engines
}

func (t *textReader) checkModels(engines bool, uses []modelUse) {
	for _, use := range uses {
		model := &place{parent: use.at, key: "model", index: -1, line: use.at.line}
		if engines && !use.stated {
			t.report(model, "is missing", "name the model that the engines load")
		}
		if !engines && use.model != "" && t.allPlain(use.pools) {
			t.reportValue(model, use.model, "has no effect on plain pools", "remove the field")
		}
	}
}

func (t *textReader) allPlain(pools []string) bool {
	return len(pools) > 0 && !slices.ContainsFunc(pools, func(name string) bool {
		i, known := t.poolIndex[name]
		return !known || t.text.Pools[i].Kind != entity.KindPlain
	})
}

// The marks of the depth-first search for circular dependencies.
const (
	unvisited = iota
	onPath
	finished
)

// checkCycles reports each circular dependency at the entry that closes it.
func (t *textReader) checkCycles() {
	marks := make([]int, len(t.text.Services))
	var path []string
	var visit func(i int)
	visit = func(i int) {
		marks[i] = onPath
		path = append(path, t.text.Services[i].Name)
		for _, use := range t.serviceAt[i].depends {
			next, known := t.serviceByID[use.name]
			switch {
			case !known:
			case marks[next] == onPath:
				cycle := append(slices.Clone(path[slices.Index(path, use.name):]), use.name)
				t.report(use.at, "closes the circular dependency "+strings.Join(cycle, " -> "), "remove one dependency of the cycle")
			case marks[next] == unvisited:
				visit(next)
			}
		}
		path = path[:len(path)-1]
		marks[i] = finished
	}
	for i := range t.text.Services {
		if marks[i] == unvisited {
			visit(i)
		}
	}
}
