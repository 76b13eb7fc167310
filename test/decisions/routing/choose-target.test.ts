/**
Choice of a target: leaving and ejected targets, prefix affinity, overflow to other targets, and no herding.
*/
import * as option from 'fp-ts/lib/Option.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'tap';
import {chooseTarget} from '../../../source/decisions/routing/choose-target.js';
import type {RoutedRequest} from '../../../source/decisions/routing/routed-request.js';
import {TargetDirectory} from '../../../source/decisions/routing/target-directory.js';
import type {Load} from '../../../source/generated/messages.js';

const seed = 20_261_204;
const load = (change: Partial<Load> = {}): Load => ({
	running: 0,
	mostRunning: 48,
	queued: 0,
	queueMilliseconds: 0,
	queuedPromptTokens: 0,
	freePieces: 256,
	totalPieces: 256,
	prefillTokensPerSecond: 12_000,
	decodeTokensPerSecond: 1400,
	tokenMilliseconds: 30,
	promptTokensOffered: 0,
	outputTokensOffered: 0,
	role: 'mixed',
	model: 'm',
	version: '1',
	changing: false,
	leaving: false,
	...change,
});

const createDirectory = (count: number): TargetDirectory => {
	const directory = new TargetDirectory();
	for (let index = 0; index < count; index++) {
		directory.upsert({name: `engine-${index}`, service: 's', availabilityZone: index % 2 === 0 ? 'a' : 'b'});
		directory.recordLoad(`engine-${index}`, load(), 0);
	}

	return directory;
};

const request = (change: Partial<RoutedRequest> = {}): RoutedRequest => ({
	kind: 'model', prefix: 'lot 7', promptTokens: 3000, outputTokens: 40, avoid: [], ...change,
});

const createRandom = () => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

const choose = (directory: TargetDirectory, routedRequest: RoutedRequest, random: () => number, now = 0): string | undefined =>
	option.toUndefined(chooseTarget(directory.ofService('s'), routedRequest, {
		gateway: 'entry-1', availabilityZone: 'a', now, random,
	}))?.name;

test('a target that is leaving according to its sidecar or the VM list is not chosen', async t => {
	const directory = createDirectory(3);
	const random = createRandom();
	directory.setLeaving('engine-0', true);
	directory.setListedLeaving('engine-1', true);
	for (let tries = 0; tries < 100; tries++) {
		t.equal(choose(directory, request({prefix: String(tries)}), random), 'engine-2');
	}

	directory.setLeaving('engine-2', true);
	t.equal(choose(directory, request(), random), undefined);
});

test('prompts with a shared prefix go to the same target at every gateway, and to another when it is busy', async t => {
	const chosen = new Set<string | undefined>();
	for (let gateway = 0; gateway < 20; gateway++) {
		chosen.add(choose(createDirectory(20), request(), createRandom()));
	}

	t.equal(chosen.size, 1);
	const directory = createDirectory(20);
	const [home] = chosen;
	directory.recordLoad(home!, load({queueMilliseconds: 5000, queued: 40, running: 48}), 0);
	t.not(choose(directory, request(), createRandom()), home);
});

test('repeated failures eject a target for a time, unless fewer than half would remain', async t => {
	const directory = createDirectory(4);
	const random = createRandom();
	for (const name of ['engine-0', 'engine-1', 'engine-2']) {
		for (let failures = 0; failures < 3; failures++) {
			directory.recordFailure(name, 0);
		}
	}

	const seen = new Set(Array.from({length: 200}, (_, index) => choose(directory, request({prefix: String(index)}), random, 1)));
	t.ok(seen.size > 1, 'with three of four targets ejected, the ejected ones stay in use');
	directory.recordSuccess('engine-0');
	const afterwards = new Set(Array.from({length: 200}, (_, index) => choose(directory, request({prefix: String(index)}), random, 1)));
	t.same(afterwards, new Set(['engine-0', 'engine-3']));
	t.equal(directory.get('engine-1')?.ejectedUntil, 5000);
});

test('gateways with the same stale load reports do not all choose the least loaded target', async t => {
	const counts = new Map<string | undefined, number>();
	const random = createRandom();
	for (let gateway = 0; gateway < 400; gateway++) {
		const directory = createDirectory(10);
		directory.recordLoad('engine-3', load({running: 0}), 0);
		for (const index of [0, 1, 2, 4, 5, 6, 7, 8, 9]) {
			directory.recordLoad(`engine-${index}`, load({running: 6, queueMilliseconds: 20}), 0);
		}

		const target = choose(directory, request({prefix: `lot ${gateway}`, promptTokens: 50}), random);
		counts.set(target, (counts.get(target) ?? 0) + 1);
	}

	t.ok((counts.get('engine-3') ?? 0) < 280, `${counts.get('engine-3') ?? 0} of 400`);
});

test('targets that the request has to avoid are not chosen', async t => {
	const directory = createDirectory(3);
	const random = createRandom();
	t.equal(choose(directory, request({avoid: ['engine-0', 'engine-1']}), random), 'engine-2');
	t.equal(choose(directory, request({avoid: ['engine-0', 'engine-1', 'engine-2']}), random), undefined);
});

test('a gateway uses a bounded subset of a large service, and the gateways of both zones together use all targets', async t => {
	const random = createRandom();
	const directory = createDirectory(100);
	const used = Array.from({length: 120}, (_, number) => new Set(Array.from({length: 100}, () => option.toUndefined(chooseTarget(
		directory.ofService('s'),
		request({kind: 'plain'}),
		{
			gateway: `entry-${number}`, availabilityZone: number % 2 === 0 ? 'a' : 'b', now: 0, random,
		},
	))?.name)));
	t.ok(used.every(({size}) => size <= 16));
	t.equal(new Set(used.flatMap(set => [...set])).size, 100);
});
