/**
Guards against gateways of one zone that take an engine for idle, or for busy, because a change was not reported.
*/
import {test} from 'tap';
import {LoadChanges} from '../../../source/decisions/load/load-changes.js';

test('reports each load once, and again when it has changed', async t => {
	const changes = new LoadChanges();
	const busy = {id: 'engine-1', attempts: 1, readMilliseconds: 94};
	t.same(changes.take([busy]), [busy]);
	t.same(changes.take([busy]), []);
	const more = {...busy, attempts: 2};
	t.same(changes.take([more]), [more]);
});

test('reports a target without load once with 0', async t => {
	const changes = new LoadChanges();
	changes.take([{id: 'engine-1', attempts: 1, readMilliseconds: 94}]);
	t.same(changes.take([]), [{id: 'engine-1', attempts: 0, readMilliseconds: 0}]);
	t.same(changes.take([]), []);
});

test('adds small changes of a backlog up until they are worth a report', async t => {
	const changes = new LoadChanges();
	changes.take([{id: 'engine-1', attempts: 1, readMilliseconds: 50}]);
	t.same(changes.take([{id: 'engine-1', attempts: 1, readMilliseconds: 52}]), []);
	const reported = {id: 'engine-1', attempts: 1, readMilliseconds: 54};
	t.same(changes.take([reported]), [reported]);
});
