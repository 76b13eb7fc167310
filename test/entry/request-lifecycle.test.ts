/**
The last check of a request's key, just before the first byte of an attempt, and what its caller is told.
*/
import {test} from 'tap';
import type {Logger} from 'roarr';
import type {AccessChange} from '../../source/decisions/teams/access-change.js';
import {WindowedRetryBudget} from '../../source/decisions/entry/requests/windowed-retry-budget.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import type {CallerRequest} from '../../source/entry/caller-request.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {RequestLifecycle} from '../../source/entry/request-lifecycle.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import {LoneGateway} from '../support/lone-gateway.js';
import {loneRateLimits} from '../support/lone-rate-limits.js';

const target = LoneGateway.target('i-1');
const denied: AccessChange = {kind: 'denied', key: 'unknown'};
const undecided: AccessChange = {kind: 'undecided', key: 'unknown'};
const moved: AccessChange = {kind: 'moved'};

type State = {
	access: AccessChange;
	hasLiveAttempt: boolean;
	/** What was sent to the caller as an error of the gateway. */
	readonly errors: unknown[];
	readonly counted: string[];
	readonly logged: unknown[];
	aborted: number;
};

/** A request that was admitted, with what its caller was sent and what was counted. */
const start = ({isRepeatable = true, targets = [target]}: {readonly isRepeatable?: boolean; readonly targets?: readonly TargetRecord[]} = {}) => {
	const state: State = {
		access: {kind: 'unchanged'}, hasLiveAttempt: false, errors: [], counted: [], logged: [], aborted: 0,
	};
	const answer = {
		isStarted: false,
		onDisconnect: () => undefined,
		sendError(...values: readonly unknown[]) {
			state.errors.push(values);
		},
		abort() {
			state.aborted++;
		},
	};
	const budget = new WindowedRetryBudget({
		share: 0.2, windowMilliseconds: 10_000, extra: 56, isFirstStart: false,
	});
	const targetRegistry = new TargetRegistry(1200);
	targetRegistry.adopt({era: 1, revision: 1, targets}, 0, 0);
	const rateLimits = loneRateLimits(() => 0);
	const context = {
		targetRegistry,
		rateLimits,
		pauses: new TargetPauses(),
		retryBudget: () => budget,
		now: () => 0,
		random: () => 0,
		timers: {after: () => () => undefined},
		openRequests: new Set(),
		fairness: new TeamFairness({metrics: {count: () => undefined}, now: () => 0}),
		service: () => undefined,
		metrics: {
			count(name: string) {
				state.counted.push(name);
			},
			record: () => undefined,
		},
		protocol: {writeRefusal: () => ({})},
		sampling: {mayWrite: () => true, onOmitted: () => undefined},
		log: {
			info(line: unknown) {
				state.logged.push(line);
			},
		} as unknown as Logger,
	} as unknown as EntryContext;
	const request = {
		facts: {requestId: 'r1'},
		route: {name: 'bids', kind: 'idempotent', mostAttempts: 3},
		service: 'floor',
		team: {kind: 'team', name: 'lots', priority: 0},
		recheckAccess: () => state.access,
		configurationVersion: 4,
		answer,
		startedAt: 0,
		deadlineAt: 3000,
	} as unknown as CallerRequest;
	const lifecycle = new RequestLifecycle(request, context, {isRepeatable: () => isRepeatable, hasLiveAttempt: () => state.hasLiveAttempt});
	lifecycle.begin();
	return {
		state, answer, lifecycle, budget, rateLimits,
	};
};

const notSent = {kind: 'not sent', reason: 'no longer wanted'} as const;

// Guards against a request that runs because its key was removed between the choice of its target and the first byte.
test('an attempt whose key was removed while it waited for its connection is not sent, and its caller gets 401', t => {
	const {state, lifecycle} = start();
	state.access = denied;
	t.notOk(lifecycle.tryStartAttempt());
	t.notOk(lifecycle.handleUnansweredAttempt(target, notSent), 'no other attempt follows');
	t.strictSame(state.errors, [[1022, {}, undefined]]);
	t.ok(state.counted.includes('access.withdrawn.denied') && state.counted.includes('request.refused.1022'));
	t.notOk(state.counted.some(name => name.startsWith('retry.')), 'nothing is charged for it');
	t.ok(state.logged.every(line => (line as {readonly team?: string}).team === 'lots'));
	t.end();
});

// Guards against a 401 by a configuration that may be outdated, and against a request that runs for another team.
test('an attempt that is not certain to be denied, or whose key has another team, is not sent and may come back', t => {
	for (const [access, code] of [[undecided, 1009], [moved, 1023]] as const) {
		const {state, lifecycle} = start();
		state.access = access;
		t.notOk(lifecycle.tryStartAttempt());
		t.notOk(lifecycle.handleUnansweredAttempt(target, notSent));
		t.match(state.errors, [[code, {}, Number]]);
	}

	t.end();
});

// Guards against telling the caller that a request has not run, because its key was removed after an attempt.
test('a request that may have run is not said to be denied when its key is removed before a retry', t => {
	const {state, lifecycle} = start();
	t.ok(lifecycle.tryStartAttempt());
	t.ok(lifecycle.handleUnansweredAttempt(target, {kind: 'unknown', reason: 'reset'}), 'another attempt follows');
	state.access = denied;
	t.notOk(lifecycle.tryStartAttempt());
	t.notOk(lifecycle.handleUnansweredAttempt(target, notSent));
	t.match(state.errors, [[2002]]);
	t.end();
});

test('a stream whose key is removed is not continued', t => {
	const {state, lifecycle, answer} = start();
	t.ok(lifecycle.tryStartAttempt());
	answer.isStarted = true;
	t.ok(lifecycle.handleUnansweredAttempt(target, {kind: 'unknown', reason: 'reset'}));
	state.access = denied;
	t.notOk(lifecycle.tryStartAttempt());
	t.notOk(lifecycle.handleUnansweredAttempt(target, notSent));
	t.strictSame(state.errors, []);
	t.equal(state.aborted, 1);
	t.end();
});

// Guards against an attempt under way that is broken off for a key that was removed after it was sent.
test('when a newer configuration denies a request, it ends at once if it waits, and goes on if an attempt may be running', t => {
	const waiting = start();
	waiting.lifecycle.refuseIfDenied();
	t.strictSame(waiting.state.errors, []);
	waiting.state.access = undecided;
	waiting.lifecycle.refuseIfDenied();
	t.strictSame(waiting.state.errors, [], 'the configuration may yet be confirmed before an attempt');
	waiting.state.access = denied;
	waiting.lifecycle.refuseIfDenied();
	t.strictSame(waiting.state.errors, [[1022, {}, undefined]]);
	t.ok(waiting.lifecycle.isEnded);
	const running = start();
	running.state.hasLiveAttempt = true;
	running.state.access = denied;
	running.lifecycle.refuseIfDenied();
	t.notOk(running.lifecycle.isEnded);
	t.end();
});

// Guards against a refusal that says that there is no target, where all that could answer have used up their limits.
test('a request that only targets with used up rate limits could answer is refused for that reason', t => {
	const targets = ['i-1', 'i-22'].map(id => ({...LoneGateway.target(id), service: 'floor'}));
	const prefillEngine = {...LoneGateway.target('i-333'), service: 'floor', role: 'prefill'} as const;
	const {state, lifecycle, rateLimits} = start({targets: [...targets, prefillEngine]});
	for (const limited of targets) {
		rateLimits.record(limited, {kind: 'named', requestsPerSecond: 2}, 0);
	}

	lifecycle.refuseWithoutTarget();
	t.match(state.errors, [[1024, {}, 0.25]]);
	const free = start({targets});
	free.rateLimits.record(targets[0]!, {kind: 'named', requestsPerSecond: 2}, 0);
	free.lifecycle.refuseWithoutTarget();
	t.not((free.state.errors[0] as readonly unknown[])[0], 1024);
	t.end();
});
