/**
Guards against a gateway that sends prompts to an engine that another gateway of its zone has just
given a long prompt, because digests of a large fleet come up to a second late.
*/
import {test} from 'tap';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {ZoneLoadExchange} from '../../source/load/zone-load-exchange.js';

const engines = ['engine-1 17', 'engine-2 17'].map(incarnation => ({
	id: incarnation.split(' ', 1)[0]!, incarnation, service: 'model', role: 'prefill' as const, slots: 12,
}));

type Sent = {readonly to: string; readonly message: PeerMessage};

const peerIn = (availabilityZone: string, index: number) => ({name: `gateway-${availabilityZone}-${index}`, availabilityZone, linkMegabits: 1000});

const createGateway = ({gateways = 9, ownedEngines = [] as readonly string[]} = {}) => {
	const sent: Sent[] = [];
	const loadTracker = new LoadTracker();
	const capacity = new LearnedCapacity();
	const state: {tick: () => void; now: number} = {
		tick() {/* Set by the timer. */}, now: 0,
	};
	const exchange = new ZoneLoadExchange({
		context: {
			settings: (() => ({availabilityZone: 'a'})) as unknown as EntryContext['settings'],
			loadTracker,
			capacity,
			targetRegistry: {all: () => [...ownedEngines.map(incarnation => ({id: incarnation.split(' ', 1)[0], incarnation})), ...engines]} as unknown as EntryContext['targetRegistry'],
			gatewayCount: () => gateways,
			now: () => state.now,
			timers: {
				every(_milliseconds: number, callback: () => void) {
					state.tick = callback;
					return () => undefined;
				},
			} as unknown as EntryContext['timers'],
		},
		peers: {
			members: [peerIn('a', 1), peerIn('a', 2), peerIn('b', 1)],
			broadcast(message, names = []) {
				sent.push(...names.map(to => ({to, message})));
			},
		},
		ownedEngines: () => ownedEngines,
	});
	exchange.start();
	return {
		exchange, loadTracker, capacity, sent, state,
	};
};

const deliver = (sent: readonly Sent[], receiver: ReturnType<typeof createGateway>): void => {
	for (const {message} of sent) {
		if (message.kind === 'zone load') {
			receiver.exchange.receive('gateway-a-0', message);
		}
	}
};

test('the gateways of the zone know of a long prompt, and of its end, after one report', async t => {
	const sender = createGateway();
	const receiver = createGateway();
	const entry = sender.loadTracker.add('engine-1', 94);
	sender.state.tick();
	t.same(sender.sent.map(({to}) => to), ['gateway-a-1', 'gateway-a-2']);
	deliver(sender.sent.splice(0, 1), receiver);
	t.same(receiver.loadTracker.totalLoad('engine-1', 0), {attempts: 1, readMilliseconds: 94});
	sender.loadTracker.remove(entry);
	sender.sent.length = 0;
	sender.state.tick();
	deliver(sender.sent.slice(0, 1), receiver);
	t.same(receiver.loadTracker.totalLoad('engine-1', 0), {attempts: 0, readMilliseconds: 0});
});

test('nothing is sent while nothing changes, or while the fleet is small', async t => {
	const idle = createGateway();
	idle.state.tick();
	t.same(idle.sent, []);
	const small = createGateway({gateways: 5});
	small.loadTracker.add('engine-1', 94);
	small.state.tick();
	t.same(small.sent, []);
});

test('an owner reports the backlog of all gateways, which counts only for a moment', async t => {
	const owner = createGateway({ownedEngines: ['engine-1 17']});
	const receiver = createGateway();
	owner.loadTracker.setPeerLoad('gateway-b-1', [{id: 'engine-1', attempts: 1, readMilliseconds: 200}], 0);
	owner.state.tick();
	deliver(owner.sent.slice(0, 1), receiver);
	t.equal(receiver.loadTracker.totalLoad('engine-1', 0).readMilliseconds, 200);
	t.equal(receiver.loadTracker.totalLoad('engine-1', 151).readMilliseconds, 0);
});

test('gateways that hardly use an engine themselves learn its speed from the others of the zone', async t => {
	const receiver = createGateway();
	const senders = Array.from({length: 6}, () => createGateway());
	for (const {capacity, state, sent} of senders) {
		for (const [index, engine] of engines.entries()) {
			capacity.recordPrefill(engine, {
				uncachedTokens: 4000, cachedTokens: 0, estimatedMilliseconds: 70, backlogMilliseconds: 0, milliseconds: index === 0 ? 70 : 140,
			}, 0);
		}

		state.tick();
		deliver(sent.slice(0, 1), receiver);
	}

	const [fast, slow] = engines.map(engine => receiver.capacity.of(engine, 2000).speed);
	t.ok(fast! / slow! > 1.5, `speeds ${fast} and ${slow}`);
	t.equal(senders[0]!.capacity.of(engines[0]!, 2000).speed, 1, 'one observation of its own says nothing');
});

test('what is observed while there are no peers is bounded', async t => {
	const {capacity} = createGateway();
	for (let index = 0; index < 1000; index++) {
		capacity.observed.add({engine: 'engine-1 17', time: 1});
	}

	t.equal(capacity.observed.take().length, 64);
	t.equal(capacity.observed.take().length, 0);
});
