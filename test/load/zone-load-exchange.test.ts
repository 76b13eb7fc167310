/**
Guards against a gateway that sends prompts to an engine that another gateway of its zone has just
given a long prompt, because digests of a large fleet come up to a second late.
*/
import {test} from 'tap';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {ZoneLoadExchange} from '../../source/load/zone-load-exchange.js';

type Sent = {readonly to: string; readonly message: PeerMessage};

const peerIn = (availabilityZone: string, index: number) => ({name: `gateway-${availabilityZone}-${index}`, availabilityZone, linkMegabits: 1000});

const createGateway = ({gateways = 9, ownedEngines = [] as readonly string[]} = {}) => {
	const sent: Sent[] = [];
	const loadTracker = new LoadTracker();
	const state: {tick: () => void; now: number} = {
		tick() {/* Set by the timer. */}, now: 0,
	};
	const exchange = new ZoneLoadExchange({
		context: {
			settings: (() => ({availabilityZone: 'a'})) as unknown as EntryContext['settings'],
			loadTracker,
			targetRegistry: {all: () => ownedEngines.map(incarnation => ({id: incarnation.split(' ', 1)[0], incarnation}))} as unknown as EntryContext['targetRegistry'],
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
		exchange, loadTracker, sent, state,
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
