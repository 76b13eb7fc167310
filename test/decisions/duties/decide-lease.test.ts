/**
Tests the lease of a duty: a holder that is frozen, whose renewals are lost or answered late, and a store that comes back from an older copy.
*/
import {test} from 'tap';
import {decideLease} from '../../../source/decisions/duties/decide-lease.js';
import type {LeaseEvent} from '../../../source/decisions/duties/lease-event.js';
import type {LeaseState} from '../../../source/decisions/duties/lease-state.js';
import {mayCall} from '../../../source/decisions/duties/may-call.js';

const leaseMilliseconds = 3000;
const never = Number.NEGATIVE_INFINITY;
const tick = (more: Partial<Extract<LeaseEvent, {readonly kind: 'tick'}>> = {}): LeaseEvent => ({
	kind: 'tick', rank: 0, heardAt: never, isOutnumbered: false, ...more,
});
const acquired = (askedAt: number): LeaseEvent => ({
	kind: 'acquired', askedAt, token: 17, era: 1, revision: 17, lease: 5, durationMilliseconds: leaseMilliseconds,
});

/** Plays events, each with its time; returns the state and the kinds of all effects. */
const play = (events: ReadonlyArray<readonly [number, LeaseEvent]>, start?: LeaseState) => {
	const kinds: string[] = [];
	let state: LeaseState = start ?? {kind: 'following', lookAt: 0};
	for (const [now, event] of events) {
		const decision = decideLease(state, event, leaseMilliseconds, now);
		state = decision.state;
		kinds.push(...decision.effects.map(({kind}) => kind));
	}

	return {state, kinds};
};

const acquiring: LeaseState = {kind: 'acquiring'};
const renewed = (askedAt: number, era = 1): LeaseEvent => ({
	kind: 'renewed', askedAt, era, durationMilliseconds: leaseMilliseconds,
});

test('a vacant lease is requested, by the first candidate at once and by the others later', t => {
	t.match(play([[0, tick()], [5, {kind: 'looked', isVacant: true}], [100, tick()]]), {state: {kind: 'acquiring'}, kinds: ['look', 'acquire']});
	const second = [[0, tick({rank: 1})], [5, {kind: 'looked', isVacant: true}], [100, tick({rank: 1})]] as const;
	t.strictSame(play(second).kinds, ['look']);
	t.strictSame(play([...second, [500, tick({rank: 1})]]).kinds, ['look', 'acquire']);
	t.strictSame(play([...second, [500, tick({rank: 1, heardAt: 400})]]).kinds, ['look'], 'the first candidate has it');
	t.end();
});

// Guards against calls to the store, which are billed, while a holder is heard.
test('the store is left alone by gateways that hear the holder and by those that are no candidates', t => {
	t.strictSame(play([[0, tick({heardAt: -500})], [200, tick({rank: undefined})]]).kinds, []);
	t.strictSame(play([[0, tick()], [5, {kind: 'looked', isVacant: false}], [100, tick()]]).kinds, ['look']);
	t.strictSame(play([[0, tick()], [5, {kind: 'look failed'}], [800, tick()]]).kinds, ['look', 'look']);
	t.end();
});

// Guards against a holder that acts while a former one may: the former one measures its lease from its last renewal.
test('a new holder waits as long as a former one may act', t => {
	const {state} = play([[100, acquired(90)], [1000, tick()], [1010, renewed(1000)], [2000, tick()], [2010, renewed(2000)], [3000, tick()], [3005, renewed(3000)]], acquiring);
	t.notOk(mayCall(state, 3099));
	t.ok(mayCall(state, 3100));
	t.end();
});

// Guards against a frozen process, or one whose renewals are lost, that acts when another gateway holds the lease.
test('a holder stops well before its lease ends, measured from before the last renewal', t => {
	const {state} = play([[100, acquired(90)], [2000, tick()], [2900, renewed(2000)]], acquiring);
	t.ok(mayCall(state, 4499));
	t.notOk(mayCall(state, 4500));
	t.match(play([[5000, tick()]], state), {state: {kind: 'following'}, kinds: ['step down']});
	const {state: failed, kinds} = play([[4000, {kind: 'renewal failed'}], [4100, tick()], [4200, tick()]], state);
	t.strictSame(kinds, [], 'a store that refuses at once is not called at every tick');
	t.strictSame(play([[4300, tick()]], failed).kinds, ['renew'], 'a failed renewal is repeated');
	t.end();
});

test('an acquisition of which a process learns when the lease has ended is given back', t => {
	t.match(play([[5000, acquired(90)]], acquiring), {state: {kind: 'following'}, kinds: ['end lease']});
	t.end();
});

// Guards against a lease number that the restored store has given to another gateway.
test('a renewal in another era ends the authority', t => {
	const {state} = play([[100, acquired(90)], [1200, tick()]], acquiring);
	t.match(play([[1210, renewed(1200, 2)]], state), {state: {kind: 'following'}, kinds: ['step down']});
	t.match(play([[1210, {kind: 'lease lost'}]], state), {state: {kind: 'following'}, kinds: ['step down']});
	t.end();
});

test('a refused token is given up, and the lease is not requested again at once', t => {
	const {state} = play([[100, acquired(90)]], acquiring);
	const refused = play([[4000, {kind: 'give up', reason: 'fenced'}], [4100, tick()]], state);
	t.match(refused, {state: {kind: 'following', lookAt: 7000}, kinds: ['step down', 'end lease']});
	t.end();
});

// Guards against reports that lack the counts of most gateways.
test('a holder that reaches few peers gives the lease up, and is slow to request it again', t => {
	const {state} = play([[100, acquired(90)]], acquiring);
	const outnumbered = play([[200, tick({isOutnumbered: true})], [1000, tick({isOutnumbered: true})]], state);
	t.match(outnumbered, {state: {kind: 'following'}, kinds: ['step down', 'end lease']});
	t.match(play([[0, tick()], [5, {kind: 'looked', isVacant: true}], [2000, tick({isOutnumbered: true})]]).kinds, ['look']);
	t.end();
});

test('a planned stop ends the lease, also one that is acquired meanwhile', t => {
	const {state} = play([[100, acquired(90)]], acquiring);
	t.match(play([[200, {kind: 'resign'}], [300, tick()]], state), {state: {kind: 'resigned'}, kinds: ['step down', 'end lease']});
	t.match(play([[200, {kind: 'resign'}], [300, acquired(190)], [400, tick()]], acquiring), {state: {kind: 'resigned'}, kinds: ['end lease']});
	t.end();
});
