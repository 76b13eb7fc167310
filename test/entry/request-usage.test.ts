/**
Tests which requests the relays count as begun, and when.
*/
import {Buffer} from 'node:buffer';
import type {Logger} from 'roarr';
import {test} from 'tap';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {TargetHealth} from '../../source/decisions/entry/targets/target-health.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import {WindowedRetryBudget} from '../../source/decisions/entry/requests/windowed-retry-budget.js';
import type {Duties} from '../../source/duties/duties.js';
import type {AttemptOutcome} from '../../source/entry/attempt-outcome.js';
import type {AttemptPlan} from '../../source/entry/attempt-plan.js';
import type {AttemptSender} from '../../source/entry/attempt-sender.js';
import type {CallerAnswer} from '../../source/entry/caller-answer.js';
import type {CallerRequest} from '../../source/entry/caller-request.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import type {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {PlainRelay} from '../../source/entry/plain-relay.js';
import type {PromptQuarantine} from '../../source/entry/prompt-quarantine.js';
import type {PromptQueues} from '../../source/entry/prompt-queues.js';
import {StreamRelay} from '../../source/entry/stream-relay.js';
import type {AnswerFacts} from '../../source/fleet/answer-facts.js';
import type {Route} from '../../source/fleet/route.js';
import type {ServiceDescription} from '../../source/fleet/service-description.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {TargetProtocol} from '../../source/ports/target-protocol.js';
import {loneRateLimits} from '../support/lone-rate-limits.js';

/** What happens to one attempt: it is sent, takes so long, and ends so. */
type Attempt = {readonly milliseconds: number; readonly outcome: AttemptOutcome; readonly events?: readonly string[]};

const facts = {status: 200} as unknown as AnswerFacts;
const answer: AttemptOutcome = {kind: 'answer', facts, body: new Uint8Array()};
const failure: AttemptOutcome = {kind: 'failure', facts: {...facts, status: 500}, body: new Uint8Array()};
const lost: AttemptOutcome = {kind: 'unknown', reason: 'connection reset'};
const whole: AttemptOutcome = {kind: 'streamed', isWhole: true, reason: ''};
const refused: AttemptOutcome = {kind: 'not run', isOtherTarget: false};
const team = {kind: 'team', name: 'joiners-cork', priority: 0} as const;

const targets: readonly TargetRecord[] = ['i-1', 'i-2', 'i-3'].map(id => ({
	id, incarnation: `${id} 1`, bornAt: 1, service: 's', address: '10.1.0.1:80', availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
}));

const play = async (kind: 'plain' | 'stream', attempts: readonly Attempt[], requestTeam: CallerRequest['team'] = team) => {
	let now = 1000;
	let open = 0;
	const begun: Array<{readonly team: string; readonly at: number}> = [];
	const remaining = [...attempts];
	const counter = {
		recordBegun(name: string, at: number) {
			begun.push({team: name, at});
		},
		openCall() {
			open++;
			return () => {
				open--;
			};
		},
	};
	const targetRegistry = new TargetRegistry(1200);
	targetRegistry.adopt({era: 1, revision: 1, targets}, now, now);
	const context: Partial<EntryContext> = {
		quarantine: {check: () => undefined, recordAnswered: () => undefined} as unknown as PromptQuarantine,
		settings: () => ({name: 'gateway-1', availabilityZone: 'a'} as unknown as ReturnType<EntryContext['settings']>),
		protocol: {writeRefusal: () => ({})} as unknown as TargetProtocol,
		targetRegistry,
		loadTracker: new LoadTracker(),
		capacity: new LearnedCapacity(),
		fairness: new TeamFairness({metrics: {count: () => undefined}, now: () => now}),
		prefixCache: new PrefixCacheIndex(),
		health: new TargetHealth(),
		pauses: new TargetPauses(),
		rateLimits: loneRateLimits(() => now),
		openRequests: new Set(),
		metrics: {count: () => undefined, record: () => undefined, gauge: () => undefined} as unknown as EntryMetrics,
		log: {info: () => undefined, warn: () => undefined} as unknown as Logger,
		sampling: {mayWrite: () => false, onOmitted: () => undefined},
		now: () => now,
		timers: {after: () => () => undefined, every: () => () => undefined},
		random: () => 0.5,
		gatewayCount: () => 1,
		service: () => ({engine: {cacheTokens: 1000}} as unknown as ServiceDescription),
		retryBudget: () => new WindowedRetryBudget({
			share: 1, windowMilliseconds: 10_000, extra: 50, isFirstStart: true,
		}),
		duties: {counter} as unknown as Duties,
	};
	const callerAnswer: Record<string, unknown> = {
		isStarted: false, isDone: false, write: () => undefined, end: () => undefined, sendError: () => undefined, abort: () => undefined, send: () => undefined, onDisconnect: () => undefined,
	};
	callerAnswer.start = () => {
		callerAnswer.isStarted = true;
	};

	const route = {
		name: 's', kind: kind === 'plain' ? 'idempotent' : 'streaming', isResumable: true, mostAttempts: 3, timeoutMilliseconds: 5000, targetLatencyMilliseconds: 400, firstEventPatienceMilliseconds: 2000, priority: 0,
	} as unknown as Route;
	const request = {
		facts: {requestId: 'r', headers: [], prompt: {tokens: 400, parts: []}},
		route,
		service: 's',
		configurationVersion: 1,
		method: 'POST',
		path: '/',
		body: undefined,
		answer: callerAnswer as unknown as CallerAnswer,
		startedAt: now,
		deadlineAt: now + 5000,
		team: requestTeam,
		urgency: {order: 0, levels: undefined},
		recheckAccess: () => ({kind: 'unchanged'}),
	} as unknown as CallerRequest;
	const send = (plan: AttemptPlan): ReturnType<AttemptSender['send']> => {
		const attempt = remaining.shift();
		if (attempt === undefined || plan.mayStart?.() === false) {
			return {outcome: Promise.resolve({kind: 'not sent', reason: 'no longer wanted'}), cancel: () => undefined};
		}

		now += attempt.milliseconds;
		for (const event of attempt.events ?? []) {
			plan.sink?.head({...facts, contentType: 'text/event-stream'} as unknown as AnswerFacts);
			plan.sink?.data(Buffer.from(event), {pause: () => undefined, resume: () => undefined});
			now += 10;
		}

		return {outcome: Promise.resolve(attempt.outcome), cancel: () => undefined};
	};

	const enqueue: PromptQueues['enqueue'] = (_, __, decide) => {
		const target = targets[0]!;
		decide({
			kind: 'placed',
			placement: {
				engine: {attempts: 0, readMilliseconds: 0}, cachedTokens: 0, way: 'in place', readMilliseconds: 60, fetchFrom: undefined, latency: 1, cost: 1,
			},
			lane: 'onTime',
			target,
			fetchFrom: undefined,
			entry: context.loadTracker!.add(target.id, 60),
			grant: 'own',
			denials: 0,
		} as unknown as Parameters<typeof decide>[0]);
		return () => undefined;
	};

	const sender = {send, releaseHandle: async () => undefined} as unknown as AttemptSender;
	const relay = kind === 'plain' ? new PlainRelay(request, context as EntryContext, sender) : new StreamRelay(request, context as EntryContext, sender, {enqueue} as unknown as PromptQueues);
	await relay.run();
	return {begun, open};
};

// Guards against a call that is counted in the window of its answer, and against a window that is held open for good.
test('a plain call counts when its answer shows that it ran, at the time when it was sent', async t => {
	t.strictSame(await play('plain', [{milliseconds: 700, outcome: answer}]), {begun: [{team: 'joiners-cork', at: 1000}], open: 0});
	t.strictSame(await play('plain', [{milliseconds: 700, outcome: whole}]), {begun: [{team: 'joiners-cork', at: 1000}], open: 0});
});

test('a call that a target refused or that was lost does not count', async t => {
	t.strictSame(await play('plain', [{milliseconds: 5, outcome: refused}, {milliseconds: 5, outcome: lost}]), {begun: [], open: 0});
});

test('a run that ended in an error counts, once a request', async t => {
	t.strictSame(await play('plain', [{milliseconds: 5, outcome: refused}, {milliseconds: 5, outcome: failure}, {milliseconds: 5, outcome: answer}]), {begun: [{team: 'joiners-cork', at: 1005}], open: 0});
});

// Guards against a stream that counts once for each engine that continues it, and against one that never began.
test('a stream counts once, with its first event', async t => {
	const torn: Attempt = {milliseconds: 300, outcome: {kind: 'streamed', isWhole: false, reason: 'reset'}, events: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']};
	t.strictSame(await play('stream', [torn, {milliseconds: 50, outcome: whole, events: ['id: 3\ndata: c\n\n']}]), {begun: [{team: 'joiners-cork', at: 1300}], open: 0});
	t.strictSame(await play('stream', [{milliseconds: 300, outcome: lost}]), {begun: [], open: 0});
});

test('a request without a team does not count', async t => {
	for (const requestTeam of [{kind: 'none'}, {kind: 'anonymous'}] as const) {
		t.strictSame(await play('plain', [{milliseconds: 5, outcome: answer}], requestTeam), {begun: [], open: 0}); // eslint-disable-line no-await-in-loop
		t.strictSame(await play('stream', [{milliseconds: 5, outcome: whole, events: ['data: a\n\n']}], requestTeam), {begun: [], open: 0}); // eslint-disable-line no-await-in-loop
	}
});
