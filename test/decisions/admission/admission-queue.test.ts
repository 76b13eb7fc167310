/**
The admission queue: limits, importance, deadlines and fair shares.
*/
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import type {AdmissionEffect} from '../../../source/decisions/admission/admission-effect.js';
import {AdmissionQueue} from '../../../source/decisions/admission/admission-queue.js';
import {workCost} from '../../../source/decisions/admission/work-cost.js';
import type {Work} from '../../../source/decisions/admission/work.js';
import {resultCode} from '../../../source/generated/result-codes.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 300);
const capacity = {
	kind: 'engine', totalPieces: 8, tokensPerPiece: 2000, mostRunning: 4, prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 200, tokenMilliseconds: 20,
} as const;

const work = (attemptId: string, change: Partial<Work> = {}): Work => ({
	attemptId, organisation: 'a', importance: 'normal', deadlineAt: 60_000, promptTokens: 1000, outputTokens: 20, ...change,
});

const step = fc.oneof(
	{
		weight: 5,
		arbitrary: fc.record({
			kind: fc.constant('offer' as const),
			organisation: fc.constantFrom('a', 'b', 'c'),
			importance: fc.constantFrom('high' as const, 'normal' as const, 'low' as const),
			deadline: fc.integer({min: 100, max: 20_000}),
			promptTokens: fc.integer({min: 1, max: 14_000}),
			outputTokens: fc.integer({min: 1, max: 400}),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('complete' as const)})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('wait' as const), milliseconds: fc.integer({min: 1, max: 3000})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('close' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('withdraw' as const)})},
);

test('each offer is answered once and the limits on memory and running work hold', async t => {
	fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
		const queue = new AdmissionQueue(capacity);
		const waiting = new Map<string, Work>();
		const running = new Map<string, Work>();
		let now = 0;
		let offered = 0;
		const take = (effects: readonly AdmissionEffect[]): void => {
			for (const effect of effects) {
				const item = waiting.get(effect.attemptId);
				if (item === undefined) {
					throw new Error(`${effect.attemptId} was answered twice or never offered`);
				}

				waiting.delete(effect.attemptId);
				if (effect.kind === 'run') {
					running.set(effect.attemptId, item);
				}
			}

			const pieces = [...running.values()].reduce((total, item) => total + workCost(item, capacity).pieces, 0);
			if (pieces > capacity.totalPieces || running.size > capacity.mostRunning) {
				throw new Error(`${pieces} pieces, ${running.size} running`);
			}

			if (queue.waitingCount !== waiting.size || queue.runningCount !== running.size) {
				throw new Error('the counts of the queue differ from the work that waits and runs');
			}
		};

		for (const next of steps) {
			switch (next.kind) {
				case 'offer': {
					offered += 1;
					const item = work(String(offered), {
						organisation: next.organisation, importance: next.importance, deadlineAt: now + next.deadline, promptTokens: next.promptTokens, outputTokens: next.outputTokens,
					});
					waiting.set(item.attemptId, item);
					take(queue.offer(item, now));
					break;
				}

				case 'complete': {
					const [first] = running.keys();
					if (first !== undefined) {
						running.delete(first);
						take(queue.complete(first, now));
					}

					break;
				}

				case 'wait': {
					now += next.milliseconds;
					take(queue.expire(now));
					break;
				}

				case 'close': {
					take(queue.close());
					queue.reopen();
					break;
				}

				case 'withdraw': {
					const [first] = waiting.keys();
					if (first !== undefined && queue.withdraw(first)) {
						waiting.delete(first);
					}

					break;
				}
			}
		}
	}), {seed, numRuns: numberRuns});
	t.comment(`seed ${seed}, ${numberRuns} runs`);
});

test('work whose deadline cannot be met is refused at once with the time after which to retry', async t => {
	const queue = new AdmissionQueue(capacity);
	const [effect] = queue.offer(work('a', {deadlineAt: 50}), 0);
	t.match(effect, {kind: 'refuse', code: resultCode.deadlineUnreachable});
	t.ok(effect?.kind === 'refuse' && effect.retryAfterMilliseconds >= 250);
});

test('under overload work of low importance is shed before work of high importance', async t => {
	const queue = new AdmissionQueue(capacity);
	const refused: string[] = [];
	for (let index = 0; index < 400; index++) {
		const isDossier = index % 2 === 0;
		const offered = work(`${isDossier ? 'dossier' : 'question'}-${index}`, isDossier ? {importance: 'high', deadlineAt: 60_000} : {importance: 'low', deadlineAt: 3000});
		refused.push(...queue.offer(offered, 0).flatMap(effect => effect.kind === 'refuse' ? [effect.attemptId] : []));
	}

	t.ok(refused.length > 50, 'work is shed');
	t.equal(refused.filter(id => id.startsWith('dossier')).length, 0, 'no work of high importance is shed while work of low importance waits');
});

test('of work with the same deadline the least important is shed first', async t => {
	const queue = new AdmissionQueue(capacity);
	const refused: string[] = [];
	for (let index = 0; index < 200; index++) {
		const importance = index % 2 === 0 ? 'high' as const : 'low' as const;
		refused.push(...queue.offer(work(`${importance}-${index}`, {importance, deadlineAt: 12_000}), 0).flatMap(effect => effect.kind === 'refuse' ? [effect.attemptId] : []));
	}

	const firstHigh = refused.findIndex(id => id.startsWith('high'));
	t.ok(firstHigh > 20, 'more than 20 of low importance are shed before the first of high importance');
});

test('the work of an organisation that fills the queue is shed for the work of others', async t => {
	const queue = new AdmissionQueue(capacity);
	const refused: string[] = [];
	for (let index = 0; index < 300; index++) {
		refused.push(...queue.offer(work(`greedy-${index}`, {organisation: 'greedy', deadlineAt: 20_000}), 0).flatMap(effect => effect.kind === 'refuse' ? [effect.attemptId] : []));
	}

	const effects = queue.offer(work('modest', {organisation: 'modest', deadlineAt: 20_000}), 0);
	t.notOk(effects.some(effect => effect.attemptId === 'modest' && effect.kind === 'refuse'), 'the work of the other organisation is not refused');
	t.ok(refused.length > 0);
});

test('a closed queue refuses waiting and new work and lets running work continue', async t => {
	const queue = new AdmissionQueue(capacity);
	for (let index = 0; index < 6; index++) {
		queue.offer(work(String(index)), 0);
	}

	const {runningCount} = queue;
	const refused = queue.close();
	t.equal(refused.length, 6 - runningCount);
	t.equal(queue.runningCount, runningCount);
	t.match(queue.offer(work('late'), 0)[0], {kind: 'refuse', code: resultCode.targetLeaving});
});
