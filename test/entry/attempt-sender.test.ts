/**
Attempts whose target leaves, or whose retry is denied, while they wait for a connection.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {Logger} from 'roarr';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import {TargetHealth} from '../../source/decisions/entry/targets/target-health.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import {AttemptSender} from '../../source/entry/attempt-sender.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import type {TargetConnection} from '../../source/entry/target-connection.js';
import type {TargetConnections} from '../../source/entry/target-connections.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import {targetProtocol} from '../../platform/target-protocol.js';
import {loneRateLimits} from '../support/lone-rate-limits.js';

type Handlers = Parameters<TargetConnection['send']>[1];

const target: TargetRecord = {
	id: 'i-1', incarnation: 'i-1 1', bornAt: 1, service: 's', address: '10.1.0.1:80', availabilityZone: 'a', isDraining: false, slots: 8, role: undefined,
};

/** Returns a sender with one connection, and the handlers with which the attempt waits for that connection. */
const startSender = (rateLimits = loneRateLimits(() => 100)): {readonly sender: AttemptSender; readonly beliefs: TargetRegistry; readonly getHandlers: () => Handlers; readonly events: unknown[]} => {
	const beliefs = new TargetRegistry(1200);
	beliefs.adopt({era: 1, revision: 10, targets: [target]}, 0, 0);
	let handlers: Handlers | undefined;
	const events: unknown[] = [];
	const write = (context: unknown): void => {
		events.push((context as {readonly event?: unknown}).event);
	};

	const connection: Pick<TargetConnection, 'send'> = {
		send(_, given) {
			handlers = given;
			return () => undefined;
		},
	};
	const connections: Pick<TargetConnections, 'acquire'> = {acquire: () => option.some(connection as TargetConnection)};
	const parts: Partial<EntryContext> = {
		targetRegistry: beliefs, protocol: targetProtocol, loadTracker: new LoadTracker(), health: new TargetHealth(), pauses: new TargetPauses(), rateLimits,
		capacity: new LearnedCapacity(), metrics: new EntryMetrics(),
		connections: connections as TargetConnections,
		log: {info: write, warn: write, debug: () => undefined} as unknown as Logger, now: () => 100, gatewayCount: () => 20, service: () => undefined,
	};
	return {
		sender: new AttemptSender(parts as EntryContext, () => undefined), beliefs, getHandlers: () => handlers!, events,
	};
};

const send = (sender: AttemptSender, mayStart = (): boolean => true): ReturnType<AttemptSender['send']> => sender.send({
	mayStart,
	target,
	facts: {
		requestId: 'r1', patienceMilliseconds: 1000, prompt: undefined, lastEventId: undefined, headers: [],
	},
	method: 'POST',
	path: '/x',
	body: undefined,
	instructions: {
		targetId: target.id, remainingMilliseconds: 900, rank: undefined, isPrefillOnly: false, handle: undefined, fetchFrom: undefined, lastEventId: undefined,
	},
	readMilliseconds: 0,
});

test('DRAIN: an attempt that waits for its connection is not sent if its target is no longer registered', t => {
	const {sender, beliefs, getHandlers, events} = startSender();
	send(sender);
	beliefs.adopt({era: 1, revision: 11, targets: []}, 50, 50);
	t.equal(getHandlers().mayStart(), false);
	t.strictSame(events, ['attempt stopped']);
	t.end();
});

test('DRAIN: an attempt that waits for its connection is not sent if its target is leaving or was replaced by a new incarnation', t => {
	const first = startSender();
	send(first.sender);
	first.beliefs.markLeaving(target.incarnation, 50);
	t.equal(first.getHandlers().mayStart(), false);
	const second = startSender();
	send(second.sender);
	second.beliefs.adopt({era: 1, revision: 11, targets: [{...target, bornAt: 2, incarnation: 'i-1 2'}]}, 50, 50);
	t.equal(second.getHandlers().mayStart(), false);
	t.end();
});

test('an attempt whose target is still registered is sent', t => {
	const {sender, beliefs, getHandlers, events} = startSender();
	send(sender);
	beliefs.adopt({era: 1, revision: 11, targets: [target]}, 50, 50);
	t.equal(getHandlers().mayStart(), true);
	t.strictSame(events, []);
	t.end();
});

test('BUDGET: an attempt that the retry budget denies just before its first byte is not sent', t => {
	const {sender, getHandlers} = startSender();
	send(sender, () => false);
	t.equal(getHandlers().mayStart(), false);
	t.end();
});

test('BUDGET: an attempt whose target is gone is not charged to the retry budget', t => {
	const {sender, beliefs, getHandlers} = startSender();
	let checkCount = 0;
	send(sender, () => {
		checkCount++;
		return true;
	});
	beliefs.adopt({era: 1, revision: 11, targets: []}, 50, 50);
	t.equal(getHandlers().mayStart(), false);
	t.equal(checkCount, 0);
	t.end();
});

// Guards against a request to a target with a rate limit that nobody has counted.
test('LIMIT: an attempt at a target with a rate limit is not sent without a permit', async t => {
	const rateLimits = loneRateLimits(() => 100);
	rateLimits.record(target, {kind: 'named', requestsPerSecond: 4.2}, 50);
	const {sender, getHandlers} = startSender(rateLimits);
	const {outcome} = send(sender);
	t.strictSame(await outcome, {kind: 'not sent', reason: 'rate limit of the target'});
	t.equal(getHandlers(), undefined);
});
