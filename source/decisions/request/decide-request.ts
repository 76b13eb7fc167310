/**
State machine of one request at a gateway: target selection, retries, output and final answer.

It guarantees that a caller receives each part of its own answer once and in order,
that "not run" is answered only when no attempt can have run, and that a
non-repeatable request is never sent to a second target once it may have run.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as option from 'fp-ts/lib/Option.js';
import {resultCode} from '../../generated/result-codes.js';
import {assertInvariant} from '../../shared/assert-invariant.js';
import type {RequestEffect} from './request-effect.js';
import type {RequestEvent} from './request-event.js';
import type {RequestState} from './request-state.js';

type Decision = {readonly state: RequestState; readonly effects: readonly RequestEffect[]};
type EventOf<Kind extends RequestEvent['kind']> = Extract<RequestEvent, {readonly kind: Kind}>;

const maxAttempts = 6;
/** Number of output parts that one acknowledgement covers. */
const partsPerAcknowledgement = 16;

const toDecision = (state: RequestState, ...effects: readonly RequestEffect[]): Decision => ({state, effects});

const finish = (state: RequestState, ...effects: readonly RequestEffect[]): Decision => ({
	state: {...state, phase: 'done', attempt: option.none},
	effects,
});

const isLive = (state: RequestState, attemptId: string): boolean => pipe(
	state.attempt,
	option.exists(attempt => attempt.attemptId === attemptId),
);

const liveTargets = (state: RequestState): readonly string[] => pipe(
	state.attempt,
	option.match(() => [], attempt => [attempt.target]),
);

const isLiveAttemptSent = (state: RequestState): boolean => pipe(state.attempt, option.exists(attempt => attempt.sent));

/** True unless it is certain that neither an earlier attempt nor the live one has run. */
const mayHaveRun = (state: RequestState): boolean => state.mayHaveRun || isLiveAttemptSent(state);

/** True when another attempt cannot make a non-repeatable request run twice. */
const isSafeToAttempt = (state: RequestState): boolean => state.repeatable || !state.mayHaveRun;

/** Drops the live attempt and asks for another target, avoiding those already tried. */
const chooseAnotherTarget = (state: RequestState): Decision => {
	assertInvariant(isSafeToAttempt(state), resultCode.executionInvariantBroken, `request ${state.requestId} may have run`);
	const triedTargets = [...state.triedTargets, ...liveTargets(state)];
	return {
		state: {
			...state, phase: 'choosing', attempt: option.none, triedTargets,
		},
		effects: [{kind: 'choose target', avoid: triedTargets}],
	};
};

const isRetryAllowed = (state: RequestState, mayRetry: boolean): boolean => mayRetry && state.attemptCount < maxAttempts;

/** Ends the request without another attempt: refuses it if no attempt has run, otherwise fails it. */
const refuseOrFail = (state: RequestState, code: number, retryAfterMilliseconds: number): Decision =>
	mayHaveRun(state)
		? finish(state, {kind: 'fail', code: state.emitted === '' ? resultCode.targetLost : resultCode.answerIncomplete})
		: finish(state, {kind: 'refuse', code, retryAfterMilliseconds});

const onTargetChosen = (state: RequestState, event: EventOf<'target chosen'>): Decision => {
	assertInvariant(state.phase === 'choosing', resultCode.executionInvariantBroken, 'a second attempt while one is live');
	assertInvariant(isSafeToAttempt(state), resultCode.executionInvariantBroken, `request ${state.requestId} may have run`);
	return {
		state: {
			...state,
			phase: 'waiting',
			attemptCount: state.attemptCount + 1,
			attempt: option.some({
				attemptId: event.attemptId, target: event.target, receivedThrough: 0, sent: false,
			}),
		},
		effects: [{
			kind: 'send attempt', attemptId: event.attemptId, target: event.target, emitted: state.emitted, emittedParts: state.emittedParts,
		}],
	};
};

const onSent = (state: RequestState, event: EventOf<'sent'>): Decision => isLive(state, event.attemptId)
	? toDecision({...state, attempt: pipe(state.attempt, option.map(attempt => ({...attempt, sent: true})))})
	: toDecision(state);

/** Retries or ends the request when the live attempt has certainly not run; earlier attempts may have. */
const onAttemptNotRun = (state: RequestState, code: number, retryAfterMilliseconds: number, mayRetry: boolean): Decision => {
	const updated: RequestState = {
		...state,
		attempt: pipe(state.attempt, option.map(attempt => ({...attempt, sent: false}))),
		lastRefusal: option.some({code, retryAfterMilliseconds}),
	};
	return isRetryAllowed(updated, mayRetry) ? chooseAnotherTarget(updated) : refuseOrFail(updated, code, retryAfterMilliseconds);
};

/** Retries or fails the request when the live attempt may have run and sends no more output. */
const onAttemptMayHaveRun = (state: RequestState, code: number, mayRetry: boolean): Decision => {
	if (state.repeatable && isRetryAllowed(state, mayRetry)) {
		return chooseAnotherTarget({...state, mayHaveRun: true});
	}

	return finish(state, {kind: 'fail', code: state.emitted === '' ? code : resultCode.answerIncomplete});
};

const onOutput = (state: RequestState, event: EventOf<'output'>, receivedThrough: number): Decision => {
	if (event.sequence <= receivedThrough) {
		return toDecision(state, {kind: 'drop', reason: 'duplicate output'});
	}

	if (event.sequence > receivedThrough + 1) {
		return toDecision(state, {kind: 'drop', reason: 'gap in output'}, {kind: 'resume attempt', attemptId: event.attemptId, receivedThrough});
	}

	return {
		state: {
			...state,
			emitted: state.emitted + event.text,
			emittedParts: state.emittedParts + 1,
			attempt: pipe(state.attempt, option.map(attempt => ({...attempt, receivedThrough: event.sequence}))),
		},
		effects: [
			{kind: 'write', text: event.text},
			...event.sequence % partsPerAcknowledgement === 0 ? [{kind: 'acknowledge' as const, attemptId: event.attemptId, receivedThrough: event.sequence}] : [],
		],
	};
};

const onFinished = (state: RequestState, event: EventOf<'finished'>, receivedThrough: number): Decision => {
	if (event.sequence > receivedThrough + 1) {
		return toDecision(state, {kind: 'drop', reason: 'gap in output'}, {kind: 'resume attempt', attemptId: event.attemptId, receivedThrough});
	}

	assertInvariant(event.sequence === receivedThrough + 1, resultCode.answerInvariantBroken, `end ${event.sequence} after output ${receivedThrough}`);
	const acknowledge: RequestEffect = {kind: 'acknowledge', attemptId: event.attemptId, receivedThrough: event.sequence};
	if (event.code === resultCode.ok) {
		const {status, finishReason, contentType} = event;
		return finish(state, acknowledge, {
			kind: 'complete', status, finishReason, contentType,
		});
	}

	const next = onAttemptMayHaveRun(state, event.code, event.mayRetry);
	return {...next, effects: [acknowledge, ...next.effects]};
};

const cancelLiveAttempt = (state: RequestState): readonly RequestEffect[] => pipe(
	state.attempt,
	option.match((): readonly RequestEffect[] => [], attempt => [{kind: 'cancel attempt', attemptId: attempt.attemptId}]),
);

const onDeadline = (state: RequestState): Decision => {
	const finalAnswer: RequestEffect = mayHaveRun(state)
		? {kind: 'fail', code: state.emitted === '' ? resultCode.deadlinePassedWhileRunning : resultCode.answerIncomplete}
		: {kind: 'refuse', code: resultCode.deadlineUnreachable, retryAfterMilliseconds: pipe(state.lastRefusal, option.match(() => 1000, refusal => refusal.retryAfterMilliseconds))};
	return finish(state, ...cancelLiveAttempt(state), finalAnswer);
};

const onNoTarget = (state: RequestState, event: EventOf<'no target'>): Decision => pipe(
	state.lastRefusal,
	option.match(
		() => refuseOrFail(state, event.code, event.retryAfterMilliseconds),
		refusal => refuseOrFail(state, refusal.code, refusal.retryAfterMilliseconds),
	),
);

const onAttemptUnknown = (state: RequestState, event: EventOf<'attempt unknown'>, receivedThrough: number): Decision =>
	event.certainlyNotRun && receivedThrough === 0
		? onAttemptNotRun(state, resultCode.targetUnreachable, 0, event.mayRetry)
		: onAttemptMayHaveRun(state, resultCode.targetLost, event.mayRetry);

/**
Returns the next state and the effects to perform.

Events of attempts that are no longer live are dropped.

@throws InvariantError when the event would break one of the guarantees above.

@example
```
const {state, effects} = decideRequest(startRequest(request), {kind: 'target chosen', attemptId, target: 'engine-3'});
```
*/
export const decideRequest = (state: RequestState, event: RequestEvent): Decision => {
	if (state.phase === 'done') {
		return toDecision(state, {kind: 'drop', reason: 'no live attempt'});
	}

	if ('attemptId' in event && event.kind !== 'target chosen' && !isLive(state, event.attemptId)) {
		return toDecision(state, {kind: 'drop', reason: 'no live attempt'});
	}

	const receivedThrough = pipe(state.attempt, option.match(() => 0, attempt => attempt.receivedThrough));
	switch (event.kind) {
		case 'target chosen': {
			return onTargetChosen(state, event);
		}

		case 'no target': {
			return onNoTarget(state, event);
		}

		case 'sent': {
			return onSent(state, event);
		}

		case 'unsent': {
			return onAttemptNotRun(state, resultCode.targetUnreachable, 0, event.mayRetry);
		}

		case 'refused': {
			return onAttemptNotRun(state, event.code, event.retryAfterMilliseconds, event.mayRetry);
		}

		case 'link replaced': {
			return toDecision(state, {kind: 'resume attempt', attemptId: event.attemptId, receivedThrough});
		}

		case 'attempt unknown': {
			return onAttemptUnknown(state, event, receivedThrough);
		}

		case 'target lost': {
			return onAttemptMayHaveRun(state, resultCode.linkLost, event.mayRetry);
		}

		case 'output': {
			return onOutput(state, event, receivedThrough);
		}

		case 'finished': {
			return onFinished(state, event, receivedThrough);
		}

		case 'deadline': {
			return onDeadline(state);
		}

		case 'caller gone': {
			return finish(state, ...cancelLiveAttempt(state));
		}
	}
};
