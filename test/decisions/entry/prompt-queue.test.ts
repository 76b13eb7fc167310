/**
Which prompts are sent, wait or are rejected, also in a simulated burst of long prompts.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {EngineView} from '../../../source/decisions/entry/prompts/engine-view.js';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';

const view = (id: string, role: EngineView['role'], more: Partial<EngineView> = {}): EngineView => ({
	id, role, availabilityZone: 'a', slots: 64, attempts: 0, readMilliseconds: 0, isAvoided: false, failureShare: 0, ...more,
});

const prompt = (id: string, arrivedAt: number, more: Partial<WaitingPrompt> = {}): WaitingPrompt => ({
	id, team: undefined, teamPriority: 0, kind: 'models', priority: 1, dueAt: arrivedAt + 800, giveUpAt: arrivedAt + 3200, tokens: 17_000, sharedParts: [{id: `lot-${id}`, tokens: 13_300}], sharedKey: `lot-${id}`, sharedTokens: 13_300, bodyBytes: 34_000, avoid: new Set(), isInPlaceOnly: false, ...more,
});

const contextOf = (engines: readonly EngineView[], cachingEngines: ReadonlySet<string> = new Set()) => ({
	engines, availabilityZone: 'a', bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, inPlaceEngines: promptQueue.selectInPlaceEngines(engines), cachedTokens: ({sharedTokens}: WaitingPrompt, id: string) => cachingEngines.has(id) ? sharedTokens : 0,
});

const chosenId = (waiting: readonly WaitingPrompt[], engines: readonly EngineView[], now: number): string | undefined => {
	const chosen = promptQueue.next(promptQueue.order(waiting, now), contextOf(engines), now);
	return option.isSome(chosen) ? chosen.value.prompt.id : undefined;
};

const idle = [view('p1', 'prefill'), view('d1', 'decode')];

test('a prompt that can still be on time goes before one that is late already', t => {
	const late = prompt('late', 0);
	const fresh = prompt('fresh', 1000);
	t.equal(chosenId([late, fresh], idle, 1010), 'fresh');
	t.end();
});

test('of prompts that can be on time, the one of the more urgent route goes first', t => {
	const dossier = prompt('dossier', 0);
	const question = prompt('question', 100, {
		priority: 0, dueAt: 500, tokens: 380, sharedTokens: 90,
	});
	t.equal(chosenId([dossier, question], idle, 110), 'question');
	t.end();
});

test('of late prompts, the one whose caller gives up soonest goes first', t => {
	t.equal(chosenId([prompt('second', 500), prompt('first', 0)], idle, 2000), 'first');
	t.end();
});

test('engines at their backlog limit get no more prompts, so that the order of the others can still change', t => {
	const busy = [view('p1', 'prefill', {readMilliseconds: 300}), view('d1', 'decode', {attempts: 60})];
	t.equal(chosenId([prompt('one', 0)], busy, 0), undefined);
	t.end();
});

test('late prompts are sent only where there is spare capacity', t => {
	const engines = [view('p1', 'prefill', {readMilliseconds: 200}), view('d1', 'decode', {attempts: 60})];
	t.equal(chosenId([prompt('late', 0)], engines, 1500), undefined);
	t.equal(chosenId([prompt('timely', 0, {sharedTokens: 0, tokens: 3000})], engines, 0), 'timely');
	t.end();
});

test('a long prompt is not prefilled in place beside many running requests', t => {
	const engines = [view('p1', 'prefill', {readMilliseconds: 400}), view('d1', 'decode', {attempts: 30})];
	t.equal(chosenId([prompt('long', 0)], engines, 0), undefined);
	t.end();
});

/** Simulates a burst on one prefill engine that prefills prompts in the order in which they are sent. */
const simulate = (count: number, gapMilliseconds: number, isQueued: boolean): {readonly onTime: number; readonly late: number; readonly rejected: number; readonly wasted: number} => {
	const result = {
		onTime: 0, late: 0, rejected: 0, wasted: 0,
	};
	let freeAt = 0;
	let waiting: WaitingPrompt[] = [];
	const prefillMilliseconds = latencyModel.prefill(17_000, 0);
	const send = (sent: WaitingPrompt, now: number): void => {
		freeAt = Math.max(freeAt, now) + prefillMilliseconds;
		const firstEventAt = freeAt + 190;
		if (firstEventAt <= sent.dueAt) {
			result.onTime++;
		} else if (firstEventAt <= sent.giveUpAt) {
			result.late++;
		} else {
			result.wasted++;
		}
	};

	for (let now = 0; now < (count * gapMilliseconds) + 6000; now += 10) {
		if (now % gapMilliseconds === 0 && now / gapMilliseconds < count) {
			waiting.push(prompt(String(now), now, {sharedTokens: 0}));
		}

		if (!isQueued) {
			waiting.forEach(each => { // eslint-disable-line unicorn/no-array-for-each
				send(each, now);
			});
			waiting = [];
			continue;
		}

		const context = contextOf([view('p1', 'prefill', {readMilliseconds: Math.max(0, freeAt - now)}), view('d1', 'decode', {attempts: 64})]);
		const chosen = promptQueue.next(promptQueue.order(waiting, now), context, now);
		if (option.isSome(chosen)) {
			const {prompt: sent} = chosen.value;
			send(sent, now);
			waiting = waiting.filter(each => each !== sent);
		}

		const unservable = new Set(promptQueue.unservable(promptQueue.order(waiting, now), context, 1, now).map(({prompt: each}) => each));
		result.rejected += unservable.size;
		waiting = waiting.filter(each => !unservable.has(each));
	}

	return result;
};

test('in a burst of twice the prefill capacity, more prompts are on time than when each is sent on arrival, and no prefill is wasted', t => {
	const unqueued = simulate(60, 170, false);
	const queued = simulate(60, 170, true);
	t.ok(queued.onTime > 2 * unqueued.onTime, `${queued.onTime} on time, ${unqueued.onTime} when sent on arrival`);
	t.equal(queued.wasted, 0);
	t.ok(unqueued.wasted > 0);
	t.ok(queued.onTime + queued.late >= unqueued.onTime + unqueued.late);
	t.end();
});

test('a prompt that cannot start before its caller gives up is rejected on arrival, with the time until there is capacity', t => {
	const engines = [view('p1', 'prefill', {readMilliseconds: 250}), view('d1', 'decode', {attempts: 64})];
	const queue = Array.from({length: 12}, (_, index) => prompt(String(index), index));
	const unservable = promptQueue.unservable(promptQueue.order(queue, 20), contextOf(engines), 1, 20);
	t.ok(unservable.length > 0 && unservable.length < queue.length);
	t.ok(unservable.every(({prompt: each}) => Number(each.id) >= queue.length - unservable.length), 'the last to arrive');
	t.ok(unservable.every(({waitMilliseconds}) => waitMilliseconds > 1000));
	t.end();
});
