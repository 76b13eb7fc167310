/**
Which shared parts engines are estimated to have cached.
*/
import {test} from 'tap';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {PrefixCacheIndex} from '../../../source/decisions/entry/caches/prefix-cache-index.js';

const lot = [{id: 'lot', tokens: 13_300}];
const at = (now: number) => ({cacheTokens: 100_000, now});

test('without reports, an engine is assumed to evict a part that it did not use while it prefilled about as much as it can cache', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordSent('e1 1', lot, 0);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(0)), 13_300);
	cacheIndex.recordPrefill('e1 1', 60_000);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(10)), 13_300);
	cacheIndex.recordPeerSent({engine: 'e1 1', part: 'lot', tokens: 13_300}, 10);
	cacheIndex.recordPrefill('e1 1', 60_000);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(20)), 13_300, 'used again in between');
	cacheIndex.recordPrefill('e1 1', 20_000);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(30)), 0);
	t.equal(cacheIndex.takeUpdates().sent.length, 1, 'own sends are passed on to peers, sends of peers are not');
	t.equal(cacheIndex.takeUpdates().sent.length, 0, 'passed on once');
	cacheIndex.recordSent('e2 1', lot, 40);
	cacheIndex.retainOnly(new Set(['e2 2']));
	t.equal(cacheIndex.cachedTokens('e2 1', lot, at(50)), 0);
	t.end();
});

test('reports of the engine take precedence over what was concluded from sends', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordSent('e1 1', lot, 0);
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 13_300}], 500);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(3000)), 13_300);
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 4000}], 3100);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(3200)), 4000, 'partly evicted');
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 0}], 3300);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(3400)), 0, 'evicted, though little was prefilled since');
	t.strictSame(cacheIndex.takeUpdates().told.map(({tokens}) => tokens), [13_300, 4000, 0], 'the reports are passed on to peers');
	t.end();
});

test('a part that was just sent counts until the engine has had time to report it, and no longer', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordReport('e1 1', [], 0);
	cacheIndex.recordSent('e1 1', lot, 100);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(200)), 13_300);
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 2048}], 400);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(500)), 13_300, 'its prefill is in progress');
	cacheIndex.recordReport('e1 1', [], 2500);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(2700)), 2048);
	t.end();
});

test('once the reports of an engine stop, the estimate is based on what was sent to it again', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordSent('e1 1', lot, 0);
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	cacheIndex.recordPrefill('e1 1', 80_000);
	t.equal(cacheIndex.hasFreshReport('e1 1', 3000), true);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(3000)), 13_300);
	t.equal(cacheIndex.hasFreshReport('e1 1', 5000), false);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(5000)), 0);
	t.end();
});

test('a part counts only as far as all parts before it are cached', t => {
	const cacheIndex = new PrefixCacheIndex();
	const parts = [{id: 'first', tokens: 2000}, {id: 'second', tokens: 5000}];
	cacheIndex.recordReport('e1 1', [{part: 'first', tokens: 1500}, {part: 'second', tokens: 5000}], 0);
	t.equal(cacheIndex.cachedTokens('e1 1', parts, at(10)), 1500);
	cacheIndex.recordReport('e1 1', [{part: 'first', tokens: 2000}], 20);
	t.equal(cacheIndex.cachedTokens('e1 1', parts, at(30)), 7000);
	t.end();
});

test('the number of parts tracked for an engine is bounded, whatever it reports', t => {
	const cacheIndex = new PrefixCacheIndex();
	for (let index = 0; index < 5000; index++) {
		cacheIndex.recordReport('e1 1', [{part: `part-${index}`, tokens: 2000}], index);
		cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 13_300}], index);
	}

	t.ok(cacheIndex.allReported(['e1 1']).length <= 2000);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(5000)), 13_300, 'a part that is often reported stays');
	t.end();
});

test('after a restart of the engine its former reports do not count', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	cacheIndex.discardReports('e1 1');
	cacheIndex.recordReport('e1 1', [], 10);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(20)), 0);
	t.end();
});

test('reports of an engine are passed on, except for small parts, and a peer that joins gets all of them', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordReport('e1 1', [{part: 'form', tokens: 90}, {part: 'lot', tokens: 13_300}, {part: 'form', tokens: 0}], 0);
	t.strictSame(cacheIndex.takeUpdates().told, [{engine: 'e1 1', part: 'lot', tokens: 13_300}]);
	t.strictSame(cacheIndex.allReported(['e1 1']), [{engine: 'e1 1', part: 'lot', tokens: 13_300}]);
	t.strictSame(cacheIndex.allReported(['e2 1']), []);
	cacheIndex.recordReport('e1 1', [{part: 'lot', tokens: 0}], 20);
	t.strictSame(cacheIndex.takeUpdates().told, [{engine: 'e1 1', part: 'lot', tokens: 0}]);
	t.strictSame(cacheIndex.allReported(['e1 1']), []);
	t.end();
});

test('a gateway that has just started learns from peers of parts that it never sent', t => {
	const cacheIndex = new PrefixCacheIndex();
	cacheIndex.recordPeerReport('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	t.equal(cacheIndex.cachedTokens('e1 1', lot, at(10)), 13_300);
	t.end();
});

/**
Guards against estimates that ignore the engine's reports: running requests take most
of an engine's memory, so parts are evicted long before as many tokens were prefilled.
*/
test('in a burst, parts that the engine has evicted are not taken to be cached', t => {
	const parts = Array.from({length: 20}, (_, index) => [{id: `lot-${index}`, tokens: 13_300}]);
	const cacheIndex = new PrefixCacheIndex();
	let uncountedMilliseconds = 0;
	for (const [index, lotParts] of parts.entries()) {
		const now = index * 300;
		cacheIndex.recordSent('e1 1', lotParts, now);
		// Memory for three parts is left beside the running requests; the oldest part is evicted.
		const evicted = parts[index - 3];
		cacheIndex.recordReport('e1 1', [{part: lotParts[0]!.id, tokens: 13_300}, ...evicted === undefined ? [] : [{part: evicted[0]!.id, tokens: 0}]], now + 250);
	}

	const now = 20 * 300;
	for (const [index, lotParts] of parts.entries()) {
		const cachedTokens = cacheIndex.cachedTokens('e1 1', lotParts, {cacheTokens: 435_000, now});
		const isCached = index >= parts.length - 3;
		uncountedMilliseconds += isCached ? 0 : latencyModel.prefill(cachedTokens, 0);
	}

	// Parts sent in the last 2.5 s may not have reached the engine yet, so they count as cached; older ones do not.
	t.ok(uncountedMilliseconds < 6 * latencyModel.prefill(13_300, 0), `prefill time that no backlog estimate counts: ${Math.round(uncountedMilliseconds)} ms`);
	t.end();
});
