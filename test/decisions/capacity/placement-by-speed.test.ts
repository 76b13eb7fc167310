/**
Where prompts and calls go while targets differ in speed.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {startingRates} from '../../../source/decisions/capacity/starting-rates.js';
import type {CallTarget} from '../../../source/decisions/entry/targets/call-target.js';
import type {EngineView} from '../../../source/decisions/entry/prompts/engine-view.js';
import {hasCapacity} from '../../../source/decisions/entry/prompts/has-capacity.js';
import {latencyModel} from '../../../source/decisions/entry/prompts/latency-model.js';
import {placeCall} from '../../../source/decisions/entry/targets/place-call.js';
import {placeDecode} from '../../../source/decisions/entry/prompts/place-decode.js';
import {placePrompt} from '../../../source/decisions/entry/prompts/place-prompt.js';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';
import {SeededChance} from '../../support/seeded-chance.js';

const view = (id: string, role: EngineView['role'], more: Partial<EngineView> = {}): EngineView => ({
	id, role, availabilityZone: 'a', slots: 64, attempts: 0, readMilliseconds: 0, isAvoided: false, failureShare: 0, ...more,
});

const waiting = (id: string, tokens: number, dueAt: number): WaitingPrompt => ({
	team: undefined, teamPriority: 0, kind: 'questions',
	id, priority: 1, dueAt, giveUpAt: dueAt + 3000, tokens, sharedParts: [], sharedKey: id, sharedTokens: 0, bodyBytes: 10_000, avoid: new Set(), isInPlaceOnly: false,
});

const contextOf = (engines: readonly EngineView[]) => ({
	engines, availabilityZone: 'a', bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, inPlaceEngines: promptQueue.selectInPlaceEngines(engines), cachedTokens: () => 0,
});

const chosenEngine = (prompt: WaitingPrompt, engines: readonly EngineView[]): string | undefined => {
	const chosen = promptQueue.next(promptQueue.order([prompt], 0), contextOf(engines), 0);
	return option.isSome(chosen) ? chosen.value.placement.engine.id : undefined;
};

const busyDecode = view('d1', 'decode', {attempts: 60});

// Guards against a long prompt that is late on a slow engine while a fast one could have it on time.
test('a long prompt whose prefill would exceed its objective on a slow engine goes to an engine on which it does not', t => {
	const slow = view('slow', 'prefill', {speed: 0.8});
	const fast = view('fast', 'prefill', {speed: 1.6, readMilliseconds: 344, availabilityZone: 'b'});
	const handOver = latencyModel.transfer({
		tokens: 17_000, bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, isSameZone: false,
	});
	const dueAt = 190 + (latencyModel.prefill(17_000, 0) / 0.8) + handOver;
	t.equal(chosenEngine(waiting('long', 17_000, dueAt - 2), [slow, fast, busyDecode]), 'fast');
	t.equal(chosenEngine(waiting('long', 17_000, dueAt + 2), [slow, fast, busyDecode]), 'slow', 'the idle engine of the own zone is cheaper, and fast enough');
	t.end();
});

// Guards against short prompts that take the fast engines from long ones.
test('a short prompt goes to an idle slow engine when the fast one has some backlog, a long one does not', t => {
	const engines = [view('slow', 'prefill', {speed: 0.6}), view('fast', 'prefill', {speed: 1.6, readMilliseconds: 60}), busyDecode];
	t.equal(chosenEngine(waiting('short', 600, 1500), engines), 'slow');
	t.equal(chosenEngine(waiting('long', 17_000, 1500), engines), 'fast');
	t.end();
});

// Guards against a backlog that is measured in another engine's time.
test('the backlog of an engine counts in its own time', t => {
	const prompt = {
		tokens: 3000, sharedKey: 'x', sharedTokens: 0, bodyBytes: 1000,
	};
	const place = (engines: readonly EngineView[]) => placePrompt(prompt, {...contextOf(engines), avoid: new Set()});
	const placed = place([view('slow', 'prefill', {speed: 0.5, readMilliseconds: 100}), view('fast', 'prefill', {speed: 2, readMilliseconds: 190}), busyDecode]);
	t.match(option.isSome(placed) ? placed.value : undefined, {engine: {id: 'fast'}});
	t.ok(option.isSome(placed) && placed.value.latency < 200 && placed.value.readMilliseconds > 48, 'the estimate that peers get is that of speed 1');
	t.equal(hasCapacity(view('p', 'prefill', {readMilliseconds: 200, speed: 0.6}), 'onTime'), false);
	t.equal(hasCapacity(view('p', 'prefill', {readMilliseconds: 400, speed: 1.6}), 'onTime'), true);
	t.end();
});

// Guards against rejections by the rate of ordinary engines.
test('what can be served before callers give up follows the speed of the engines', t => {
	const prompts = Array.from({length: 60}, (_, index) => waiting(`r${index}`, 17_000, 2000));
	const rejected = (speed: number): number => {
		const engines = [view('p1', 'prefill', {speed}), view('p2', 'prefill', {speed}), view('d1', 'decode', {speed})];
		return promptQueue.unservable(promptQueue.order(prompts, 0), contextOf(engines), 1, 0).length;
	};

	t.ok(rejected(0.6) > rejected(1) && rejected(1) > rejected(1.6), [0.6, 1, 1.6].map(speed => rejected(speed)).join(' '));
	t.end();
});

// Guards against tokens that come slowly from a slow engine while a fast one has a few requests more.
test('tokens are generated on the engine with the shortest step', t => {
	const engines = [view('slow', 'decode', {speed: 0.6, attempts: 2}), view('fast', 'decode', {speed: 1.6, attempts: 20})];
	const chosen = placeDecode({
		engines, availabilityZone: 'a', prefillZone: 'a', bodyBytes: 700, avoid: new Set(),
	});
	t.equal(option.isSome(chosen) ? chosen.value.id : '', 'fast');
	t.end();
});

// Guards against short prompts that avoid engines with many requests where a request adds nothing to a step.
test('with learned rates, running requests count by what they add to a step', t => {
	const engines = [view('d1', 'decode', {attempts: 30}), view('d2', 'decode', {attempts: 0, availabilityZone: 'b'})];
	const place = (rates = startingRates): string => {
		const placed = placePrompt({
			tokens: 100, sharedKey: 'x', sharedTokens: 0, bodyBytes: 4000,
		}, {...contextOf(engines), avoid: new Set(), rates});
		return option.isSome(placed) ? placed.value.engine.id : '';
	};

	t.equal(place(), 'd2');
	t.equal(place({...startingRates, decodeStep: {milliseconds: 4.55, millisecondsPerRequest: 0.005}}), 'd1');
	t.end();
});

const callTarget = (id: string, more: Partial<CallTarget> = {}): CallTarget => ({
	id, availabilityZone: 'a', slots: 8, attempts: 0, isAvoided: false, failureShare: 0, speed: 1, slowdown: 1, callMilliseconds: 40, ...more,
});

const shares = (targets: readonly CallTarget[], bodyBytes = 0): Readonly<Record<string, number>> => {
	const chance = new SeededChance(5);
	const placed = Array.from({length: 2000}, () => placeCall({
		targets, availabilityZone: 'a', bodyBytes, avoid: new Set(), random: chance.random,
	}));
	const ids = placed.flatMap(chosen => option.isSome(chosen) ? [chosen.value.id] : []);
	return Object.fromEntries(targets.map(({id}) => [id, ids.filter(chosen => chosen === id).length / ids.length]));
};

// Guards against equal shares for targets of different speeds, and against gateways that all choose the same one.
test('calls go to fast targets more often, but not all to the fastest', t => {
	const byTarget = shares([callTarget('slow', {speed: 0.6}), callTarget('usual'), callTarget('fast', {speed: 1.6})]);
	t.ok(byTarget.fast! > byTarget.usual! && byTarget.usual! > byTarget.slow!, JSON.stringify(byTarget));
	t.ok(byTarget.fast! < 0.85 && byTarget.usual! > 0.1, JSON.stringify(byTarget));
	t.end();
});

test('a target gets less while it is slowed down, and while it is at its learned limit', t => {
	const slowed = shares([callTarget('one', {slowdown: 2.5}), callTarget('two'), callTarget('three')]);
	t.ok(slowed.one! > 0 && slowed.one! < 0.15, JSON.stringify(slowed));
	const limited = shares([callTarget('one', {capacity: 3, attempts: 3}), callTarget('two', {attempts: 3}), callTarget('three', {attempts: 3})]);
	t.ok(limited.one! < 0.1, JSON.stringify(limited));
	t.end();
});

// Guards against expensive traffic between zones that saves no waiting, and against calls that wait in their zone while another is idle.
test('a call goes to another zone only while the waiting saved is worth the bytes, and returns', t => {
	const targets = (attempts: number): readonly CallTarget[] => [callTarget('near', {attempts}), callTarget('far', {availabilityZone: 'b'})];
	t.equal(shares(targets(3)).far, 0);
	t.equal(shares(targets(24)).far, 1);
	t.equal(shares(targets(10), 100_000).far, 0, 'a large body is worth more waiting');
	t.equal(shares(targets(10), 100).far, 1);
	t.equal(shares(targets(0)).far, 0);
	t.end();
});

test('a target that fails is left out while there is another, and each is tried once before any again', t => {
	t.equal(shares([callTarget('one', {isAvoided: true}), callTarget('two')]).one, 0);
	const placed = placeCall({
		targets: [callTarget('one'), callTarget('two', {attempts: 30})], availabilityZone: 'a', avoid: new Set(['one']), random: () => 0.5,
	});
	t.equal(option.isSome(placed) ? placed.value.id : '', 'two');
	t.ok(option.isNone(placeCall({
		targets: [], availabilityZone: 'a', avoid: new Set(), random: () => 0.5,
	})));
	t.end();
});
