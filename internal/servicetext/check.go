package servicetext

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// checkReferences checks the names that refer to other sections of the text.
func (t *textReader) checkReferences() {
	for _, ref := range t.dataCentreReferences {
		if len(t.text.DataCentres) == 0 {
			break // the missing or empty section has been reported
		}
		if ref.name != "" && !slices.Contains(t.text.DataCentres, ref.name) {
			t.report(ref.node, "is not a listed data centre", "add it to data-centres or use a listed one")
		}
	}
	for i := range t.text.Services {
		t.checkService(&t.text.Services[i], &t.serviceNodes[i])
	}
}

func (t *textReader) checkService(s *entity.Service, nodes *serviceNodes) {
	for _, ref := range nodes.dependencies {
		if _, known := t.serviceIndex[ref.name]; !known {
			t.report(ref.node, "is not a listed service", "add the service or remove the dependency")
		}
	}
	isEngineService := t.checkPools(nodes.pools)
	if len(nodes.pools) == 0 {
		return
	}
	t.checkModels(isEngineService, nodes.models)
	// The deliveries whole and restart run the request a second time after its engine
	// is lost.
	if isEngineService && !s.Repeatable && s.Delivery != entity.DeliverError && s.Delivery != "" {
		t.report(nodes.delivery, "repeats the work of a service with repeatable: false", "use delivery error or repeatable: true")
	}
}

// checkPools reports unknown pools and a mix of plain and other pools in one service.
// It returns whether the service's first known pool is not plain.
func (t *textReader) checkPools(refs []reference) (isEngineService bool) {
	firstPool := ""
	for _, ref := range refs {
		i, known := t.poolIndex[ref.name]
		if !known {
			t.report(ref.node, "is not a listed pool", "add the pool or use a listed one")
			continue
		}
		isEngine := t.text.Pools[i].Kind != entity.KindPlain
		if firstPool == "" {
			firstPool, isEngineService = ref.name, isEngine
		} else if isEngine != isEngineService && t.text.Pools[i].Kind != "" {
			t.report(ref.node, fmt.Sprintf("mixes plain and engine pools in one service (%s is of the other sort)", firstPool),
				"make two services, one for each sort")
		}
	}
	return isEngineService
}

func (t *textReader) checkModels(isEngineService bool, versions []versionModel) {
	for _, version := range versions {
		modelNode := &pathNode{parent: version.node, key: "model", index: -1, line: version.node.line}
		if isEngineService && !version.hasModel {
			t.report(modelNode, "is missing", "name the model that the engines load")
		}
		if !isEngineService && version.model != "" && t.allPlain(version.pools) {
			t.reportValue(modelNode, version.model, "has no effect on plain pools", "remove the field")
		}
	}
}

func (t *textReader) allPlain(pools []string) bool {
	return len(pools) > 0 && !slices.ContainsFunc(pools, func(name string) bool {
		i, known := t.poolIndex[name]
		return !known || t.text.Pools[i].Kind != entity.KindPlain
	})
}

// Marks of services in the depth-first search for circular dependencies.
const (
	unvisited = iota
	onPath
	finished
)

// checkCycles reports each circular dependency at the depends-on entry that closes it.
func (t *textReader) checkCycles() {
	marks := make([]int, len(t.text.Services))
	var path []string
	var visit func(i int)
	visit = func(i int) {
		marks[i] = onPath
		path = append(path, t.text.Services[i].Name)
		for _, ref := range t.serviceNodes[i].dependencies {
			next, known := t.serviceIndex[ref.name]
			switch {
			case !known:
			case marks[next] == onPath:
				cycle := append(slices.Clone(path[slices.Index(path, ref.name):]), ref.name)
				t.report(ref.node, "closes the circular dependency "+strings.Join(cycle, " -> "), "remove one dependency of the cycle")
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
