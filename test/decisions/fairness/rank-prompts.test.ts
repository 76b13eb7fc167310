/**
The order of prompts of several teams, and what it costs.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import {rankPrompts} from '../../../source/decisions/fairness/rank-prompts.js';
import {ServiceFairness} from '../../../source/decisions/fairness/service-fairness.js';

const prompt = (id: string, more: Partial<WaitingPrompt> = {}): WaitingPrompt => ({
	id,
	team: 'harbour',
	teamPriority: 0,
	kind: 'dossier',
	priority: 1,
	dueAt: 5000,
	giveUpAt: 8000,
	tokens: 6000,
	sharedParts: [],
	sharedKey: '',
	sharedTokens: 0,
	bodyBytes: 1000,
	avoid: new Set(),
	isInPlaceOnly: false,
	...more,
});

const idsInOrder = (waiting: readonly WaitingPrompt[], fairness: ServiceFairness, now: number): readonly string[] =>
	promptQueue.order(waiting, now, fairness.ranks(waiting, now)).timely.map(({id}) => id);

test('a prompt of a team that has used less than its share goes before those of a team that has used more, though it is due later', t => {
	const fairness = new ServiceFairness();
	fairness.charge('large', 5000, 0);
	fairness.charge('small', 10, 0);
	t.strictSame(idsInOrder([prompt('a', {team: 'large'}), prompt('b', {team: 'small', dueAt: 5100})], fairness, 0), ['b', 'a']);
	t.end();
});

test('a queue full of prompts of one team does not hide the others: each counts as if those before it had been sent', t => {
	const fairness = new ServiceFairness();
	const burst = Array.from({length: 100}, (_, index) => prompt(`large-${index}`, {team: 'large', dueAt: 5000 + index}));
	const others = Array.from({length: 5}, (_, index) => prompt(`small-${index}`, {team: `small-${index}`, dueAt: 6000}));
	fairness.charge('large', 500, 0);
	for (const {team} of others) {
		fairness.charge(team!, 500, 0);
	}

	const ids = idsInOrder([...burst, ...others], fairness, 0);
	t.ok(others.every(({id}) => ids.indexOf(id) < 12), 'all are among the prompts that a pass compares');
	t.end();
});

test('priority precedes usage: the team\'s, then the route\'s', t => {
	const fairness = new ServiceFairness();
	fairness.charge('large', 5000, 0);
	fairness.charge('small', 10, 0);
	const waiting = [
		prompt('small dossier', {team: 'small'}),
		prompt('large question', {team: 'large', priority: 0, kind: 'question'}),
		prompt('less urgent team', {
			team: 'later', teamPriority: 1, priority: 0, kind: 'question',
		}),
	];
	t.strictSame(idsInOrder(waiting, fairness, 0), ['large question', 'small dossier', 'less urgent team']);
	t.end();
});

test('a caller that was refused goes before new ones of the same rank when it comes back, also through another gateway', t => {
	const first = new ServiceFairness();
	const second = new ServiceFairness();
	first.recordRefused(prompt('back'), 0);
	const waiting = [prompt('new', {team: 'one'}), prompt('back', {team: 'two', dueAt: 5200})];
	t.strictSame(idsInOrder(waiting, first, 500), ['back', 'new']);
	t.strictSame(idsInOrder(waiting, second, 500), ['new', 'back']);
	second.recordReport(first.takeReport(16, 64), 500);
	t.strictSame(idsInOrder(waiting, second, 500), ['back', 'new']);
	t.end();
});

test('what a team used at another gateway counts, so that a team that spreads its callers gains nothing', t => {
	const first = new ServiceFairness();
	const second = new ServiceFairness();
	first.charge('large', 5000, 0);
	second.charge('small', 40, 0);
	const waiting = [prompt('a', {team: 'large'}), prompt('b', {team: 'small', dueAt: 5100})];
	t.strictSame(idsInOrder(waiting, second, 0), ['a', 'b']);
	second.recordReport(first.takeReport(16, 64), 0);
	t.strictSame(idsInOrder(waiting, second, 0), ['b', 'a']);
	t.strictSame(first.takeReport(16, 64), {teams: [], milliseconds: [], refused: []}, 'usage is reported once');
	t.end();
});

test('a late prompt of an urgent kind goes before a less urgent one that can be on time, which would otherwise take all capacity in an overload', t => {
	const fairness = new ServiceFairness();
	for (let index = 0; index < 20; index++) {
		fairness.recordPlaced(prompt(`r${index}`), 10, 0);
	}

	const waiting = [prompt('dossier'), prompt('late question', {priority: 0, kind: 'question', dueAt: 100})];
	t.strictSame(idsInOrder(waiting, fairness, 200), ['late question', 'dossier']);
	t.strictSame(promptQueue.order(waiting, 200).timely.map(({id}) => id), ['dossier'], 'without teams a late prompt waits for spare capacity');
	t.end();
});

test('a prompt of a team above its share leaves the last of an engine\'s capacity to prompts that may wait at other gateways', t => {
	const fairness = new ServiceFairness();
	fairness.charge('large', 5000, 0);
	fairness.charge('small', 10, 0);
	const chosen = (team: string, readMilliseconds: number): string | undefined => {
		const waiting = [prompt(team, {team})];
		const engine = {
			id: 'p', role: 'prefill', availabilityZone: 'a', slots: 64, attempts: 0, readMilliseconds, isAvoided: false, failureShare: 0,
		} as const;
		const result = promptQueue.next(promptQueue.order(waiting, 0, fairness.ranks(waiting, 0)), {
			engines: [engine, {
				...engine, id: 'd', role: 'decode', slots: 1, attempts: 1,
			}],
			availabilityZone: 'a',
			bytesPerToken: 1000,
			linkMegabitsPerSecond: 100_000,
			inPlaceEngines: new Set(),
			cachedTokens: () => 0,
		}, 0);
		return option.isSome(result) ? result.value.lane : undefined;
	};

	t.equal(chosen('small', 200), 'onTime');
	t.equal(chosen('large', 200), undefined);
	t.equal(chosen('large', 100), 'late', 'capacity that nobody else needs is used');
	t.end();
});

test('a decode is charged by what it took, and a request without an answer is refunded the average that was charged', t => {
	const fairness = new ServiceFairness();
	fairness.recordPlaced(prompt('one'), 100, 0);
	fairness.recordEnded('one', 400, 0);
	t.equal(fairness.standing('harbour', 0).usedMilliseconds, 500);
	fairness.recordPlaced(prompt('two', {team: 'pier'}), 100, 0);
	t.ok(fairness.standing('pier', 0).usedMilliseconds > 100, 'an average decode is charged in advance, so that a burst counts before its answers end');
	fairness.recordEnded('two', undefined, 0);
	t.equal(Math.round(fairness.standing('pier', 0).usedMilliseconds), 100);
	fairness.recordEnded('two', 400, 0);
	t.equal(Math.round(fairness.standing('pier', 0).usedMilliseconds), 100, 'a request ends once');
	t.end();
});

test('a pass reads the account of each team that waits once, however many teams there are', t => {
	const reads: string[] = [];
	const waiting = Array.from({length: 300}, (_, index) => prompt(String(index), {team: `team-${index % 40}`}));
	rankPrompts(waiting, {
		usedBy(team) {
			reads.push(team);
			return 0;
		},
		shareMilliseconds: 1,
		isBelowFloor: () => false,
		isNeglected: () => false,
		precedesKinds: () => false,
		isTimely: () => true,
		rateBefore: () => 0,
		isReturning: () => false,
		costOf: () => 1,
	});
	t.equal(reads.length, 40);
	t.end();
});

test('only a few prompts are expedited at a time, as more would hide all others from a pass while no engine can take them', t => {
	const waiting = Array.from({length: 50}, (_, index) => prompt(String(index), {team: `team-${index}`}));
	const ranks = rankPrompts(waiting, {
		usedBy: () => 0,
		shareMilliseconds: 1,
		isBelowFloor: () => true,
		isNeglected: () => true,
		precedesKinds: () => false,
		isTimely: () => true,
		rateBefore: () => 0,
		isReturning: () => false,
		costOf: () => 1,
	});
	t.equal([...ranks.values()].filter(({isExpedited}) => isExpedited).length, 4);
	t.end();
});
