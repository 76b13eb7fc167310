/**
Where no teams are configured, the queue of prompts decides as it did before there were teams.
*/
import {test} from 'tap';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {retryAfter} from '../../../source/decisions/entry/requests/retry-after.js';
import {ServiceFairness} from '../../../source/decisions/fairness/service-fairness.js';
import {TeamFairness} from '../../../source/entry/team-fairness.js';
import {SeededChance} from '../../support/seeded-chance.js';

const cases = 300;
const firstEventMilliseconds = 190;

const drawPrompt = (chance: SeededChance, index: number): WaitingPrompt => ({
	id: `r${index}`,
	team: undefined,
	teamPriority: 0,
	kind: chance.pick(['question', 'dossier']),
	priority: chance.whole(3),
	dueAt: chance.whole(2000),
	giveUpAt: chance.whole(4000),
	tokens: 200 + chance.whole(20_000),
	sharedParts: [],
	sharedKey: '',
	sharedTokens: 0,
	bodyBytes: 1000,
	avoid: new Set(),
	isInPlaceOnly: false,
});

/** The order as it was before there were teams. */
const formerOrder = (waiting: readonly WaitingPrompt[], now: number) => ({
	timely: waiting.filter(({dueAt}) => now + firstEventMilliseconds < dueAt).toSorted((first, second) => first.priority - second.priority || first.dueAt - second.dueAt),
	byGiveUp: waiting.toSorted((first, second) => first.giveUpAt - second.giveUpAt),
});

/** The prompts that were rejected before there were teams, for one prefill engine and one decode engine. */
const formerUnservable = (byGiveUp: readonly WaitingPrompt[], backlog: number, gateways: number, now: number): readonly string[] => {
	const rate = 1.3 / gateways;
	let queued = 0;
	return byGiveUp.flatMap(({id, tokens, giveUpAt}) => {
		const prefill = latencyModel.prefill(tokens, 0);
		const isUnservable = now + (backlog / 2) + (queued / rate) + prefill + (prefill < 25 ? 500 : 900) > giveUpAt;
		queued += isUnservable ? 0 : prefill;
		return isUnservable ? [id] : [];
	});
};

const engine = (id: string, role: 'prefill' | 'decode', readMilliseconds: number, attempts: number) => ({
	id, role, readMilliseconds, attempts, availabilityZone: 'a', slots: 64, isAvoided: false, failureShare: 0,
});

test('without teams, prompts are ordered and rejected exactly as before', t => {
	const chance = new SeededChance(17);
	for (let index = 0; index < cases; index++) {
		const waiting = Array.from({length: chance.whole(40)}, (_, each) => drawPrompt(chance, each));
		const now = chance.whole(1500);
		const gateways = 1 + chance.whole(6);
		const backlog = chance.whole(400);
		const fairness = new ServiceFairness();
		for (const prompt of waiting) {
			fairness.recordPlaced(prompt, 100, now);
			fairness.recordRefused(prompt, now);
		}

		const ranks = fairness.ranks(waiting, now);
		const order = promptQueue.order(waiting, now, waiting.length === 0 ? undefined : ranks);
		const former = formerOrder(waiting, now);
		const unservable = promptQueue.unservable(order, {
			engines: [engine('p', 'prefill', backlog, 0), engine('d', 'decode', 0, chance.whole(64))],
			availabilityZone: 'a',
			bytesPerToken: 1000,
			linkMegabitsPerSecond: 1000,
			inPlaceEngines: new Set(),
			cachedTokens: () => 0,
		}, gateways, now);
		const isSame = order.timely.every((prompt, place) => prompt === former.timely[place]) && order.timely.length === former.timely.length
			&& order.byGiveUp.every((prompt, place) => prompt === former.byGiveUp[place])
			&& unservable.map(({prompt}) => prompt.id).join(' ') === formerUnservable(former.byGiveUp, backlog, gateways, now).join(' ');
		if (!isSame || fairness.teamCount > 0) {
			t.fail(`case ${index}`);
		}
	}

	t.pass(`${cases} queues`);
	t.end();
});

test('without teams, nothing is counted, reported, logged or refused, and Retry-After keeps its jitter', t => {
	const counted: string[] = [];
	const fairness = new TeamFairness({
		metrics: {
			count(name) {
				counted.push(name);
			},
		},
		now: () => 0,
	});
	const prompt = drawPrompt(new SeededChance(1), 1);
	const request = {
		team: {kind: 'none'}, service: 'models', facts: {requestId: 'r1'}, route: {priority: 0}, deadlineAt: 1,
	} as unknown as Parameters<TeamFairness['admitCall']>[0];
	t.strictSame(fairness.accountOf({kind: 'none'}), {team: undefined, teamPriority: 0});
	t.equal(fairness.ranks('models', [prompt]), undefined);
	fairness.recordPlaced('models', prompt, 100, undefined);
	fairness.recordRefused('models', prompt);
	fairness.recordEnded(request, 100, 64);
	fairness.recordAnsweredCall(request, 100, {attempts: 100}, {slots: 8});
	t.equal(fairness.returnDelay('models', prompt, {waitMilliseconds: 400, workMilliseconds: 30}), 400);
	t.equal(fairness.returnDelay('models', prompt, {waitMilliseconds: 400, workMilliseconds: 30}), 400);
	t.strictSame(fairness.admitCall(request, () => {
		throw new Error('the load of targets is not looked at');
	}), {kind: 'admit'});
	t.strictSame(fairness.facts(request), {});
	t.equal(fairness.takeReport(22), undefined);
	t.equal(fairness.teamCount, 0);
	t.strictSame(counted, []);
	t.equal(retryAfter({wantedMilliseconds: 400, remainingMilliseconds: 3000, random: () => 1}), 0.4 * 1.5);
	t.equal(retryAfter({wantedMilliseconds: 4000, remainingMilliseconds: 3000, random: () => 1}), 1);
	t.end();
});
