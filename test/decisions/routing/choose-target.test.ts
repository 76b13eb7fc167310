/**
Routing: leaving and ejected targets, affinity, spilling, and no herding.
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

const create = (count: number): TargetDirectory => {
	const directory = new TargetDirectory();
	for (let index = 0; index < count; index++) {
		directory.learn({name: `engine-${index}`, service: 's', availabilityZone: index % 2 === 0 ? 'a' : 'b'});
		directory.reported(`engine-${index}`, load(), 0);
	}

	return directory;
};

const request = (change: Partial<RoutedRequest> = {}): RoutedRequest => ({
	kind: 'model', prefix: 'lot 7', promptTokens: 3000, outputTokens: 40, avoid: [], ...change,
});

const randomOf = () => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

const choose = (directory: TargetDirectory, asked: RoutedRequest, random: () => number, now = 0): string | undefined =>
	option.toUndefined(chooseTarget(directory.ofService('s'), asked, {
		gateway: 'entry-1', availabilityZone: 'a', now, random,
	}))?.name;

test('a target that is leaving by any word gets nothing', async t => {
	const directory = create(3);
	const random = randomOf();
	directory.setLeaving('engine-0', true);
	directory.setListedLeaving('engine-1', true);
	for (let tries = 0; tries < 100; tries++) {
		t.equal(choose(directory, request({prefix: String(tries)}), random), 'engine-2');
	}

	directory.setLeaving('engine-2', true);
	t.equal(choose(directory, request(), random), undefined);
});

test('prompts with one prefix go to the same few targets at every gateway, and spill when those are busy', async t => {
	const chosen = new Set<string | undefined>();
	for (let gateway = 0; gateway < 20; gateway++) {
		chosen.add(choose(create(20), request(), randomOf()));
	}

	t.equal(chosen.size, 1);
	const directory = create(20);
	const [home] = chosen;
	directory.reported(home!, load({queueMilliseconds: 5000, queued: 40, running: 48}), 0);
	t.not(choose(directory, request(), randomOf()), home);
});

test('repeated failures eject a target for a time, but never more than half of them', async t => {
	const directory = create(4);
	const random = randomOf();
	for (const name of ['engine-0', 'engine-1', 'engine-2']) {
		for (let failures = 0; failures < 3; failures++) {
			directory.failed(name, 0);
		}
	}

	const seen = new Set(Array.from({length: 200}, (_, index) => choose(directory, request({prefix: String(index)}), random, 1)));
	t.ok(seen.size > 1, 'with three of four ejected the floor keeps the others in use');
	directory.succeeded('engine-0');
	const afterwards = new Set(Array.from({length: 200}, (_, index) => choose(directory, request({prefix: String(index)}), random, 1)));
	t.same(afterwards, new Set(['engine-0', 'engine-3']));
	t.equal(directory.get('engine-1')?.ejectedUntil, 5000);
});

test('gateways that share one stale report do not all run to the freshest target', async t => {
	const counts = new Map<string | undefined, number>();
	const random = randomOf();
	for (let gateway = 0; gateway < 400; gateway++) {
		const directory = create(10);
		directory.reported('engine-3', load({running: 0}), 0);
		for (const index of [0, 1, 2, 4, 5, 6, 7, 8, 9]) {
			directory.reported(`engine-${index}`, load({running: 6, queueMilliseconds: 20}), 0);
		}

		const target = choose(directory, request({prefix: `lot ${gateway}`, promptTokens: 50}), random);
		counts.set(target, (counts.get(target) ?? 0) + 1);
	}

	t.ok((counts.get('engine-3') ?? 0) < 280, `${counts.get('engine-3') ?? 0} of 400`);
});

test('tried targets are avoided', async t => {
	const directory = create(3);
	const random = randomOf();
	t.equal(choose(directory, request({avoid: ['engine-0', 'engine-1']}), random), 'engine-2');
	t.equal(choose(directory, request({avoid: ['engine-0', 'engine-1', 'engine-2']}), random), undefined);
});

test('of a large service a gateway uses a bounded part, and the gateways of both zones together all of it', async t => {
	const random = randomOf();
	const directory = create(100);
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
