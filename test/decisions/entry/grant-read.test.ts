/**
The moment at which engines fall idle while every gateway has long prompts waiting.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {EngineView} from '../../../source/decisions/entry/engine-view.js';
import {grantRead} from '../../../source/decisions/entry/grant-read.js';
import {promptQueue} from '../../../source/decisions/entry/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/waiting-prompt.js';

const gateways = 5;
const engineNames = ['p1', 'p2', 'p3'];
/** What an engine may have before it when a prompt that can be on time is sent, as the queue promises. */
const mostBacklog = 260;

const prompt = (id: string): WaitingPrompt => ({
	id, priority: 1, aimAt: 800, giveUpAt: 3200, tokens: 17_000, sharedParts: [{id: 'lot', tokens: 13_300}], sharedKey: 'lot', sharedTokens: 13_300, bodyBytes: 34_000, avoid: new Set(), isInPlaceOnly: false,
});

const viewsOf = (backlogs: ReadonlyMap<string, number>): readonly EngineView[] => [
	...engineNames.map((id): EngineView => ({
		id, role: 'prefill', availabilityZone: 'a', slots: 64, attempts: 0, readMilliseconds: backlogs.get(id) ?? 0, isAvoided: false, failureShare: 0,
	})),
	{
		id: 'd1', role: 'decode', availabilityZone: 'a', slots: 64, attempts: 60, readMilliseconds: 0, isAvoided: false, failureShare: 0,
	},
];

const choose = (waiting: readonly WaitingPrompt[], backlogs: ReadonlyMap<string, number>) => {
	const engines = viewsOf(backlogs);
	const chosen = promptQueue.next(waiting, {
		engines, reading: promptQueue.readingMakers(engines), availabilityZone: 'a', bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, kept: () => 13_300,
	}, 0);
	return option.isSome(chosen) ? chosen.value : undefined;
};

/** All gateways look at the same moment, before any hears of another; gives what is before each engine then. */
const play = (isAsked: boolean): ReadonlyMap<string, number> => {
	const real = new Map<string, number>();
	for (let gateway = 0; gateway < gateways; gateway++) {
		const believed = new Map<string, number>();
		let waiting = Array.from({length: 10}, (_, index) => prompt(`${gateway}-${index}`));
		for (let chosen = choose(waiting, believed); chosen !== undefined; chosen = choose(waiting, believed)) {
			const {placement: {engine, readMilliseconds}, lane, prompt: {id}} = chosen;
			const before = real.get(engine.id) ?? 0;
			const isGranted = !isAsked || grantRead({...engine, readMilliseconds: before}, {lane, assumedMilliseconds: engine.readMilliseconds});
			if (isGranted) {
				real.set(engine.id, before + readMilliseconds);
				waiting = waiting.filter(each => each.id !== id);
			}

			believed.set(engine.id, Math.max(engine.readMilliseconds, isAsked ? before : 0) + (isGranted ? readMilliseconds : 0));
		}
	}

	return real;
};

test('engines that fall idle at once are not given more than they may have, whoever has prompts waiting', t => {
	const longest = Math.max(...play(true).values());
	t.ok(longest < mostBacklog + 100, `an engine has ${Math.round(longest)} ms before it`);
	t.ok(Math.min(...engineNames.map(id => play(true).get(id) ?? 0)) > mostBacklog / 2, 'none stays idle');
	t.end();
});

test('the load is one that gateways which do not ask get wrong', t => {
	t.ok(Math.max(...play(false).values()) > mostBacklog * 3);
	t.end();
});

test('a choice holds while what is before the prompt is about what was assumed', t => {
	const view = {
		role: 'prefill', slots: 64, attempts: 0, readMilliseconds: 120,
	} as const;
	t.equal(grantRead(view, {lane: 'onTime', assumedMilliseconds: 100}), true);
	t.equal(grantRead(view, {lane: 'onTime', assumedMilliseconds: 0}), false, 'its gateway may know a better engine');
	t.equal(grantRead({...view, readMilliseconds: 200}, {lane: 'late', assumedMilliseconds: 200}), false, 'late work waits for room to spare');
	t.end();
});
