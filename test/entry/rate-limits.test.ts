/**
LIMIT: the requests a second that a target names hold for all gateways together.

Gateways as on a machine each, linked to each other, with callers at every one. Real time passes,
but what is asserted is a number of requests, which a slow machine only makes smaller.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers/promises';
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {answerAsEngine} from '../support/answer-as-engine.js';
import {EntryFleet} from '../support/entry-fleet.js';
import {RateLimitJudge} from '../support/rate-limit-judge.js';

type Gateway = Awaited<ReturnType<EntryFleet['addGateway']>>;

const calls = {
	name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 3,
};
const bids = {
	name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor', maxAttempts: 1,
};
const prompts = {
	name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300, targetLatencyMs: 800, timeoutMs: 3000, maxAttempts: 3,
};
const engine = {
	slots: 64, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};
const longPromptHeaders = {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'aa:13300,bb:3700'};
const promptHeaders = {'x-model': 'm', 'x-token-count': '300,6', 'x-prompt-prefix': 'aa:92,bb:208'};

const gatewayNames = ['gateway-1', 'gateway-2', 'gateway-3'] as const;
const requestMilliseconds = 40;
const warmUpMilliseconds = 1500;
/** From the naming of the limit until the end of the first judged span, and a second one that begins after it. */
const limitedMilliseconds = 7600;

const startGateways = async (fleet: EntryFleet): Promise<readonly Gateway[]> => {
	const first = await fleet.addGateway();
	const {host, port} = first.settings.listen.peers!;
	const others = await Promise.all(gatewayNames.slice(1).map(async () => fleet.addGateway({peerSeeds: [`${host}:${port}`]})));
	return [first, ...others];
};

/** Answers as before, and names a limit while the target has one. */
const nameLimit = (target: PlatformTargetStandIn, answer: PlatformTargetStandIn['answer'], limits: ReadonlyMap<string, number>, judge: RateLimitJudge): void => {
	target.answer = (response, arrival, count) => {
		const [gateway = ''] = arrival.requestId.split(' ');
		const limit = limits.get(target.id);
		if (limit !== undefined) {
			judge.arrive(target.id, gateway, performance.now());
			response.setHeader('server-limit', String(limit));
			response.once('finish', () => {
				judge.told(target.id, gateway, performance.now());
			});
		}

		answer(response, arrival, count);
	};
};

/** Sends requests to a gateway at a steady rate; returns their statuses. */
const askSteadily = async (fleet: EntryFleet, gateway: Gateway, {path, headers, until}: {readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly until: number}): Promise<readonly number[]> => {
	const replies: Array<Promise<number>> = [];
	while (performance.now() < until) {
		replies.push(fleet.status(gateway, {path: `${path}${replies.length}`, requestId: `${gateway.settings.name} ${path}${replies.length}`, headers}));
		await setTimeout(requestMilliseconds); // eslint-disable-line no-await-in-loop
	}

	return Promise.all(replies);
};

type Play = {
	readonly service: 'floor' | 'models';
	readonly path: string;
	/** By target, in requests a second; targets that are left out name none. */
	readonly limits: Readonly<Record<string, number>>;
	/** Roles of the engines, by target; decode when left out. */
	readonly roles?: Readonly<Record<string, 'prefill' | 'decode'>>;
	readonly headers?: Readonly<Record<string, string>>;
};

/** Plays three gateways before three targets, of which some name a limit after a while. */
const play = async (t: Test, {service, path, limits, roles = {}, headers = {}}: Play): Promise<{readonly judge: RateLimitJudge; readonly statuses: readonly number[]; readonly fleet: EntryFleet}> => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([calls, bids, prompts], [{name: 'floor'}, {name: 'models', engine}]);
	const judge = new RateLimitJudge();
	const inForce = new Map<string, number>();
	for (const id of ['i-1', 'i-2', 'i-3']) {
		const target = await fleet.addTarget(id, service, service === 'models' ? {phase: roles[id] ?? 'decode'} : {}); // eslint-disable-line no-await-in-loop
		nameLimit(target, service === 'models' ? answerAsEngine : target.answer, inForce, judge);
	}

	const gateways = await startGateways(fleet);
	const namedAt = performance.now() + warmUpMilliseconds;
	const until = namedAt + limitedMilliseconds;
	const asked = Promise.all(gateways.map(async gateway => askSteadily(fleet, gateway, {path, headers, until})));
	await setTimeout(warmUpMilliseconds);
	for (const [target, limit] of Object.entries(limits)) {
		judge.name(target, limit, performance.now());
		inForce.set(target, limit);
	}

	const answers = await asked;
	return {judge, statuses: answers.flat(), fleet};
};

// Guards against a target in need that gets as many requests as before, from gateways that each know its limit.
test('LIMIT: calls of all gateways together keep to the limits that two of three targets name', async t => {
	const {judge, statuses} = await play(t, {service: 'floor', path: '/prices/', limits: {'i-1': 8.6, 'i-2': 4.2}});
	t.comment(JSON.stringify(judge.worst));
	t.strictSame(judge.violations, []);
	t.ok(statuses.every(status => status === 200), 'the third target takes the others');
});

test('LIMIT: calls that may run only once keep to the limits, also when every target names one', async t => {
	const {judge, statuses} = await play(t, {service: 'floor', path: '/bids/', limits: {'i-1': 8.6, 'i-2': 4.2, 'i-3': 4.2}});
	t.comment(JSON.stringify(judge.worst));
	t.strictSame(judge.violations, []);
	t.ok(statuses.every(status => status === 200 || status === 503), 'what cannot be served is refused');
});

test('LIMIT: prompts of all gateways together keep to the limits that engines name', async t => {
	const {judge, statuses} = await play(t, {
		service: 'models', path: '/dossiers/', limits: {'i-1': 8.6, 'i-2': 4.2}, headers: promptHeaders,
	});
	t.comment(JSON.stringify(judge.worst));
	t.strictSame(judge.violations, []);
	t.ok(statuses.every(status => status === 200), 'the third engine takes the others');
});

test('LIMIT: the engine that reads prompts and one that writes answers to them keep to their limits', async t => {
	const {judge, statuses} = await play(t, {
		service: 'models', path: '/dossiers/', limits: {'i-1': 8.6, 'i-2': 4.2}, roles: {'i-1': 'prefill'}, headers: longPromptHeaders,
	});
	t.comment(JSON.stringify(judge.worst));
	t.strictSame(judge.violations, []);
	t.ok(statuses.every(status => status === 200 || status === 503), 'what cannot be served is refused');
});

test('LIMIT: a target that takes nothing gets next to nothing, and a small limit is kept', async t => {
	const {judge, statuses} = await play(t, {service: 'floor', path: '/prices/', limits: {'i-1': 0, 'i-2': 0.4}});
	t.comment(JSON.stringify(judge.worst));
	t.strictSame(judge.violations, []);
	t.ok(statuses.every(status => status === 200), 'the third target takes the others');
});
