/**
Grants of long prompts when engines become idle while every gateway has long prompts waiting.

Guards against engines that get far more than their backlog limit, because several
gateways see them idle at the same moment.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {EngineView} from '../../../source/decisions/entry/prompts/engine-view.js';
import {grantPrefill} from '../../../source/decisions/entry/prompts/grant-prefill.js';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';

const gateways = 5;
const engineNames = ['p1', 'p2', 'p3'];
/** Prefill backlog, in milliseconds, below which the queue sends an engine a prompt that can be on time. */
const maxBacklog = 260;

const prompt = (id: string): WaitingPrompt => ({
	id, team: undefined, teamPriority: 0, kind: 'models', priority: 1, dueAt: 800, giveUpAt: 3200, tokens: 17_000, sharedParts: [{id: 'lot', tokens: 13_300}], sharedKey: 'lot', sharedTokens: 13_300, bodyBytes: 34_000, avoid: new Set(), isInPlaceOnly: false,
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
	const chosen = promptQueue.next(promptQueue.order(waiting, 0), {
		engines, inPlaceEngines: promptQueue.selectInPlaceEngines(engines), availabilityZone: 'a', bytesPerToken: 35_136, linkMegabitsPerSecond: 270_000, cachedTokens: () => 13_300,
	}, 0);
	return option.isSome(chosen) ? chosen.value : undefined;
};

/** Lets all gateways choose at the same moment, before any learns of another; returns the resulting backlog of each engine. */
const simulate = (isOwnerAsked: boolean): ReadonlyMap<string, number> => {
	const actualBacklogs = new Map<string, number>();
	for (let gateway = 0; gateway < gateways; gateway++) {
		const assumedBacklogs = new Map<string, number>();
		let waiting = Array.from({length: 10}, (_, index) => prompt(`${gateway}-${index}`));
		for (let chosen = choose(waiting, assumedBacklogs); chosen !== undefined; chosen = choose(waiting, assumedBacklogs)) {
			const {placement: {engine, readMilliseconds}, lane, prompt: {id}} = chosen;
			const backlog = actualBacklogs.get(engine.id) ?? 0;
			const isGranted = !isOwnerAsked || grantPrefill({...engine, readMilliseconds: backlog}, {lane, assumedMilliseconds: engine.readMilliseconds});
			if (isGranted) {
				actualBacklogs.set(engine.id, backlog + readMilliseconds);
				waiting = waiting.filter(each => each.id !== id);
			}

			assumedBacklogs.set(engine.id, Math.max(engine.readMilliseconds, isOwnerAsked ? backlog : 0) + (isGranted ? readMilliseconds : 0));
		}
	}

	return actualBacklogs;
};

test('engines that become idle at once are not filled beyond their backlog limit when every gateway has prompts waiting', t => {
	const longest = Math.max(...simulate(true).values());
	t.ok(longest < maxBacklog + 100, `an engine has a backlog of ${Math.round(longest)} ms`);
	t.ok(Math.min(...engineNames.map(id => simulate(true).get(id) ?? 0)) > maxBacklog / 2, 'none stays idle');
	t.end();
});

test('gateways that do not ask the owner overfill the engines in this scenario', t => {
	t.ok(Math.max(...simulate(false).values()) > maxBacklog * 3);
	t.end();
});

test('a choice holds while the backlog is about what the asking gateway assumed', t => {
	const view = {
		role: 'prefill', slots: 64, attempts: 0, readMilliseconds: 120,
	} as const;
	t.equal(grantPrefill(view, {lane: 'onTime', assumedMilliseconds: 100}), true);
	t.equal(grantPrefill(view, {lane: 'onTime', assumedMilliseconds: 0}), false, 'its gateway may find a better engine');
	t.equal(grantPrefill({...view, readMilliseconds: 200}, {lane: 'late', assumedMilliseconds: 200}), false, 'late prompts need spare capacity');
	t.end();
});
