/**
Many connections that each hold something, and together more than there is room for.
*/
import {test} from 'tap';
import {CallerHoldings} from '../../../source/decisions/callers/caller-holdings.js';

const limitBytes = 10_000_000;
const megabyte = 1_000_000;

/** Closes victims until there are none; returns them in their order. */
const reclaim = (holdings: CallerHoldings<string>, isStalled?: (connection: string) => boolean): readonly string[] => {
	const victims: string[] = [];
	for (let victim = holdings.chooseVictim(isStalled); victim !== undefined; victim = holdings.chooseVictim(isStalled)) {
		victims.push(victim);
		holdings.remove(victim);
	}

	return victims;
};

// Guards against many bodies that together take the process's memory.
test('LOST: what a crowd of unfinished bodies holds stays within the limit, and small requests beside it are spared', t => {
	const holdings = new CallerHoldings<string>(limitBytes);
	holdings.set('small', '10.0.0.1', 'incoming', 20_000);
	for (let index = 0; index < 200; index++) {
		holdings.set(`crowd ${index}`, '10.0.0.2', 'incoming', megabyte);
		t.notOk(reclaim(holdings).includes('small'));
		t.ok(holdings.total <= limitBytes);
	}

	t.equal(holdings.heldBy('small'), 20_000);
	t.end();
});

test('the address that holds most gives back first, and of its connections the one that holds most', t => {
	const holdings = new CallerHoldings<string>(limitBytes);
	holdings.set('large of an ordinary caller', '10.0.0.1', 'incoming', 4 * megabyte);
	holdings.set('crowd 1', '10.0.0.2', 'incoming', 3 * megabyte);
	holdings.set('crowd 2', '10.0.0.2', 'incoming', 3.5 * megabyte);
	t.equal(holdings.chooseVictim(), 'crowd 2');
	t.strictSame(reclaim(holdings), ['crowd 2']);
	t.end();
});

// Guards against a request that may have run and is closed while one that has not could be refused.
test('requests that have not arrived whole go before unread answers, and those before requests that may run; stalled ones go first of all', t => {
	const holdings = new CallerHoldings<string>(megabyte);
	holdings.set('running', 'a', 'accepted', 5 * megabyte);
	holdings.set('unread', 'a', 'answer', 4 * megabyte);
	holdings.set('arriving', 'a', 'incoming', 3 * megabyte);
	holdings.set('stalled', 'a', 'incoming', 2 * megabyte);
	t.strictSame(reclaim(holdings, connection => connection === 'stalled'), ['stalled', 'arriving', 'unread', 'running']);
	t.equal(holdings.total, 0);
	t.end();
});

test('connections that hold little are spared only up to a quarter over the limit', t => {
	const holdings = new CallerHoldings<string>(megabyte);
	for (let index = 0; index < 60; index++) {
		holdings.set(`small ${index}`, 'a', 'incoming', 20_000);
	}

	t.equal(holdings.chooseVictim(), undefined);
	holdings.set('one more', 'a', 'incoming', 30_000);
	holdings.set('and another', 'a', 'incoming', 30_000);
	t.equal(holdings.chooseVictim(), 'and another');
	t.end();
});

test('what a connection holds of several kinds is one sum, which ends with it', t => {
	const holdings = new CallerHoldings<string>(megabyte);
	holdings.set('one', 'a', 'incoming', 100);
	holdings.set('one', 'a', 'answer', 50);
	holdings.set('one', 'a', 'incoming', 0);
	t.equal(holdings.heldBy('one'), 50);
	t.notOk(holdings.isOver);
	holdings.remove('one');
	holdings.remove('one');
	t.equal(holdings.total, 0);
	t.end();
});
