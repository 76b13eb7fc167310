/**
What engines are believed to keep, and who asks them.
*/
import {test} from 'tap';
import {engineSpeed} from '../../../source/decisions/entry/engine-speed.js';
import {followedEngines} from '../../../source/decisions/entry/followed-engines.js';
import {KeptParts} from '../../../source/decisions/entry/kept-parts.js';

const lot = [{id: 'lot', tokens: 13_300}];
const at = (now: number) => ({cacheTokens: 100_000, now});

test('without its own word an engine is taken to forget what it did not use while it read about as much as it keeps', t => {
	const kept = new KeptParts();
	kept.sent('e1 1', lot, 0);
	t.equal(kept.tokens('e1 1', lot, at(0)), 13_300);
	kept.read('e1 1', 60_000);
	t.equal(kept.tokens('e1 1', lot, at(10)), 13_300);
	kept.hearSent({engine: 'e1 1', part: 'lot', tokens: 13_300}, 10);
	kept.read('e1 1', 60_000);
	t.equal(kept.tokens('e1 1', lot, at(20)), 13_300, 'used again in between');
	kept.read('e1 1', 20_000);
	t.equal(kept.tokens('e1 1', lot, at(30)), 0);
	t.equal(kept.takeNews().sent.length, 1, 'own sends are news, what peers told is not');
	t.equal(kept.takeNews().sent.length, 0, 'told once');
	kept.sent('e2 1', lot, 40);
	kept.keepOnly(new Set(['e2 2']));
	t.equal(kept.tokens('e2 1', lot, at(50)), 0);
	t.end();
});

test('the word of the engine goes before what was concluded from sends', t => {
	const kept = new KeptParts();
	kept.sent('e1 1', lot, 0);
	kept.told('e1 1', [{part: 'lot', tokens: 13_300}], 500);
	t.equal(kept.tokens('e1 1', lot, at(3000)), 13_300);
	kept.told('e1 1', [{part: 'lot', tokens: 4000}], 3100);
	t.equal(kept.tokens('e1 1', lot, at(3200)), 4000, 'partly gone');
	kept.told('e1 1', [{part: 'lot', tokens: 0}], 3300);
	t.equal(kept.tokens('e1 1', lot, at(3400)), 0, 'gone, though little was read since');
	t.strictSame(kept.takeNews().told.map(({tokens}) => tokens), [13_300, 4000, 0], 'peers are told');
	t.end();
});

test('what was just sent counts until the engine has had time to say so, and no longer', t => {
	const kept = new KeptParts();
	kept.told('e1 1', [], 0);
	kept.sent('e1 1', lot, 100);
	t.equal(kept.tokens('e1 1', lot, at(200)), 13_300);
	kept.told('e1 1', [{part: 'lot', tokens: 2048}], 400);
	t.equal(kept.tokens('e1 1', lot, at(500)), 13_300, 'it is being read');
	kept.told('e1 1', [], 2500);
	t.equal(kept.tokens('e1 1', lot, at(2700)), 2048);
	t.end();
});

test('an engine that has fallen silent is judged by what was sent to it again', t => {
	const kept = new KeptParts();
	kept.sent('e1 1', lot, 0);
	kept.told('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	kept.read('e1 1', 80_000);
	t.equal(kept.isFollowed('e1 1', 3000), true);
	t.equal(kept.tokens('e1 1', lot, at(3000)), 13_300);
	t.equal(kept.isFollowed('e1 1', 5000), false);
	t.equal(kept.tokens('e1 1', lot, at(5000)), 0);
	t.end();
});

test('a part counts only as far as all before it are kept', t => {
	const kept = new KeptParts();
	const parts = [{id: 'first', tokens: 2000}, {id: 'second', tokens: 5000}];
	kept.told('e1 1', [{part: 'first', tokens: 1500}, {part: 'second', tokens: 5000}], 0);
	t.equal(kept.tokens('e1 1', parts, at(10)), 1500);
	kept.told('e1 1', [{part: 'first', tokens: 2000}], 20);
	t.equal(kept.tokens('e1 1', parts, at(30)), 7000);
	t.end();
});

test('a restart of the engine leaves nothing of its word', t => {
	const kept = new KeptParts();
	kept.told('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	kept.forgetTold('e1 1');
	kept.told('e1 1', [], 10);
	t.equal(kept.tokens('e1 1', lot, at(20)), 0);
	t.end();
});

test('only parts that requests share are passed on, all of them to a peer that comes', t => {
	const kept = new KeptParts();
	kept.told('e1 1', [{part: 'own', tokens: 3000}, {part: 'lot', tokens: 13_300}], 0);
	t.strictSame(kept.takeNews().told, []);
	kept.hearSent({engine: 'e2 1', part: 'lot', tokens: 13_300}, 10);
	t.strictSame(kept.takeNews().told, [{engine: 'e1 1', part: 'lot', tokens: 13_300}], 'told once it is known to be shared');
	t.strictSame(kept.allTold(['e1 1']), [{engine: 'e1 1', part: 'lot', tokens: 13_300}]);
	kept.told('e1 1', [{part: 'lot', tokens: 0}], 20);
	t.strictSame(kept.takeNews().told, [{engine: 'e1 1', part: 'lot', tokens: 0}]);
	t.end();
});

/**
The load that beliefs without the engine's word get wrong: running requests take
most of an engine's memory, so parts are gone long before as much was read.
*/
test('prompts of a burst are not sent to read what is believed to be kept and is gone', t => {
	const parts = Array.from({length: 20}, (_, index) => [{id: `lot-${index}`, tokens: 13_300}]);
	const kept = new KeptParts();
	let uncounted = 0;
	for (const [index, lotParts] of parts.entries()) {
		const now = index * 300;
		kept.sent('e1 1', lotParts, now);
		// Memory for three parts is left beside the running requests; the oldest goes.
		const gone = parts[index - 3];
		kept.told('e1 1', [{part: lotParts[0]!.id, tokens: 13_300}, ...gone === undefined ? [] : [{part: gone[0]!.id, tokens: 0}]], now + 250);
	}

	const now = 20 * 300;
	for (const [index, lotParts] of parts.entries()) {
		const believed = kept.tokens('e1 1', lotParts, {cacheTokens: 435_000, now});
		const isKept = index >= parts.length - 3;
		uncounted += isKept ? 0 : engineSpeed.read(believed, 0);
	}

	// Sends of the last 2.5 s may still be on their way to the engine; nothing older is believed.
	t.ok(uncounted < 6 * engineSpeed.read(13_300, 0), `reading that nobody counted: ${Math.round(uncounted)} ms`);
	t.end();
});

test('each engine is followed by one gateway, and by another when that one is gone', t => {
	const engines = Array.from({length: 40}, (_, index) => `engine-${index} 1`);
	const gateways = ['gateway-1', 'gateway-2', 'gateway-3', 'gateway-4', 'gateway-5'];
	const shares = gateways.map(own => followedEngines(engines, own, gateways.filter(name => name !== own)));
	t.strictSame(shares.flat().toSorted(), engines.toSorted());
	t.ok(shares.every(share => share.length > 2), 'the work is spread');
	const rest = gateways.slice(1);
	const after = rest.map(own => followedEngines(engines, own, rest.filter(name => name !== own)));
	t.strictSame(after.flat().toSorted(), engines.toSorted());
	t.ok(after.every((share, index) => shares[index + 1]!.every(engine => share.includes(engine))), 'the others keep theirs');
	t.end();
});
