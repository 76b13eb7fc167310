/**
What engines are believed to keep.
*/
import {test} from 'tap';
import {engineSpeed} from '../../../source/decisions/entry/engine-speed.js';
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

test('what is remembered of an engine is bounded, whatever it says', t => {
	const kept = new KeptParts();
	for (let index = 0; index < 5000; index++) {
		kept.told('e1 1', [{part: `part-${index}`, tokens: 2000}], index);
		kept.told('e1 1', [{part: 'lot', tokens: 13_300}], index);
	}

	t.ok(kept.allTold(['e1 1']).length <= 2000);
	t.equal(kept.tokens('e1 1', lot, at(5000)), 13_300, 'what is heard of stays');
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

test('what an engine says is passed on, small parts are not, and a peer that comes is told all', t => {
	const kept = new KeptParts();
	kept.told('e1 1', [{part: 'form', tokens: 90}, {part: 'lot', tokens: 13_300}, {part: 'form', tokens: 0}], 0);
	t.strictSame(kept.takeNews().told, [{engine: 'e1 1', part: 'lot', tokens: 13_300}]);
	t.strictSame(kept.allTold(['e1 1']), [{engine: 'e1 1', part: 'lot', tokens: 13_300}]);
	t.strictSame(kept.allTold(['e2 1']), []);
	kept.told('e1 1', [{part: 'lot', tokens: 0}], 20);
	t.strictSame(kept.takeNews().told, [{engine: 'e1 1', part: 'lot', tokens: 0}]);
	t.strictSame(kept.allTold(['e1 1']), []);
	t.end();
});

test('a gateway that has just started knows of parts that it never sent', t => {
	const kept = new KeptParts();
	kept.hearTold('e1 1', [{part: 'lot', tokens: 13_300}], 0);
	t.equal(kept.tokens('e1 1', lot, at(10)), 13_300);
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
