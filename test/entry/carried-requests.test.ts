/**
What a connection remembers of the requests that it has carried.
*/
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {CarriedRequests} from '../../source/entry/carried-requests.js';
import {requestKey} from '../../source/entry/request-key.js';
import {heldHeap} from '../support/held-heap.js';

const remembered = 64;
const idBytes = 16_000;
const maxHeldBytes = 64_000;

/** An id as it comes from the wire: a text of its own. A padded one would share its characters with others. */
const longId = (index: number): string => Buffer.from(String(index).padEnd(idBytes, 'x')).toString('latin1');

test('a connection tells a request that it has carried from one that it has not', async t => {
	const carried = new CarriedRequests();
	t.strictSame(carried.add(requestKey('9c41')), {isUsed: false, hasCarriedRequest: false});
	t.strictSame(carried.add(requestKey('9c42')), {isUsed: true, hasCarriedRequest: false});
	t.strictSame(carried.add(requestKey('9c41')), {isUsed: true, hasCarriedRequest: true});
	t.ok(carried.has(requestKey('9c42')));
	t.notOk(carried.has(requestKey('9c4')));
	carried.clear();
	t.strictSame(carried.add(requestKey('9c41')), {isUsed: false, hasCarriedRequest: false});
});

test('the oldest requests are forgotten', async t => {
	const carried = new CarriedRequests();
	for (const index of Array.from({length: remembered + 1}).keys()) {
		carried.add(requestKey(`r${index}`));
	}

	t.notOk(carried.has(requestKey('r0')));
	t.ok(carried.has(requestKey('r1')));
	t.ok(carried.has(requestKey(`r${remembered}`)));
});

// Guards against callers whose long ids, kept by each connection to a target, use up the heap (review/9).
test('LOST: what a connection remembers does not grow with the length of the ids', async t => {
	const bytes = heldHeap(() => {
		const carried = new CarriedRequests();
		for (const index of Array.from({length: remembered}).keys()) {
			carried.add(requestKey(longId(index)));
		}

		return carried;
	});
	t.ok(bytes < maxHeldBytes, `${bytes} bytes`);
});
