/**
The state machine of one request: order of the output, retries and final answers.
*/
import {test} from 'tap';
import {decideRequest} from '../../../source/decisions/request/decide-request.js';
import type {RequestEvent} from '../../../source/decisions/request/request-event.js';
import type {RequestState} from '../../../source/decisions/request/request-state.js';
import {startRequest} from '../../../source/decisions/request/start-request.js';
import {resultCode} from '../../../source/generated/result-codes.js';

const start = (repeatable: boolean): RequestState => startRequest({
	requestId: 'r', organisation: 'a', importance: 'normal', repeatable, streamed: true, deadlineAt: 1000,
});

/** Applies the events in turn and returns the last state and all effects. */
const applyEvents = (state: RequestState, ...events: readonly RequestEvent[]) => {
	let current = state;
	const effects = events.flatMap(event => {
		const decision = decideRequest(current, event);
		current = decision.state;
		return decision.effects;
	});
	return {state: current, effects};
};

const chosen: RequestEvent = {kind: 'target chosen', attemptId: 'a1', target: 't1'};
const sent: RequestEvent = {kind: 'sent', attemptId: 'a1'};
const output = (sequence: number, attemptId = 'a1'): RequestEvent => ({
	kind: 'output', attemptId, sequence, text: `${sequence};`,
});
const writtenText = (effects: ReturnType<typeof applyEvents>['effects']): string => effects.map(effect => effect.kind === 'write' ? effect.text : '').join('');

test('each output part is written once and in order when parts arrive twice', async t => {
	const {effects} = applyEvents(start(true), chosen, sent, output(1), output(1), output(2), output(1), output(2), output(3));
	t.equal(writtenText(effects), '1;2;3;');
});

test('output after a gap is not written, and the missing parts are requested again', async t => {
	const {effects} = applyEvents(start(true), chosen, sent, output(1), output(3));
	t.equal(writtenText(effects), '1;');
	t.match(effects.at(-1), {kind: 'resume attempt', receivedThrough: 1});
});

test('output of an earlier attempt is dropped', async t => {
	const {effects, state} = applyEvents(
		start(true),
		chosen,
		sent,
		output(1),
		{kind: 'target lost', attemptId: 'a1', mayRetry: true},
		{kind: 'target chosen', attemptId: 'a2', target: 't2'},
		output(1, 'a1'),
		output(2, 'a1'),
	);
	t.equal(writtenText(effects), '1;');
	t.equal(state.emitted, '1;');
});

test('a stream continues at another target after the output that the caller already has', async t => {
	const {effects} = applyEvents(start(true), chosen, sent, output(1), output(2), {kind: 'target lost', attemptId: 'a1', mayRetry: true}, {kind: 'target chosen', attemptId: 'a2', target: 't2'});
	t.match(effects.at(-1), {kind: 'send attempt', emitted: '1;2;', emittedParts: 2});
});

test('a non-repeatable call that may have run fails with an unknown outcome', async t => {
	const {effects} = applyEvents(start(false), chosen, sent, {kind: 'target lost', attemptId: 'a1', mayRetry: true});
	t.match(effects.at(-1), {kind: 'fail', code: resultCode.linkLost});
});

test('a non-repeatable call that certainly has not run is tried at another target', async t => {
	const {effects} = applyEvents(start(false), chosen, sent, {
		kind: 'attempt unknown', attemptId: 'a1', certainlyNotRun: true, mayRetry: true,
	});
	t.match(effects.at(-1), {kind: 'choose target', avoid: ['t1']});
});

test('a refusal after an attempt that may have run is not reported as "not run"', async t => {
	const {effects} = applyEvents(
		start(true),
		chosen,
		sent,
		{kind: 'target lost', attemptId: 'a1', mayRetry: true},
		{kind: 'target chosen', attemptId: 'a2', target: 't2'},
		{
			kind: 'refused', attemptId: 'a2', code: resultCode.queueFull, retryAfterMilliseconds: 500, mayRetry: false,
		},
	);
	t.match(effects.at(-1), {kind: 'fail'});
});

test('a request that may not be retried is refused at once with the time after which to retry', async t => {
	const {effects, state} = applyEvents(start(true), chosen, sent, {
		kind: 'refused', attemptId: 'a1', code: resultCode.queueFull, retryAfterMilliseconds: 700, mayRetry: false,
	});
	t.match(effects, [{kind: 'send attempt'}, {kind: 'refuse', code: resultCode.queueFull, retryAfterMilliseconds: 700}]);
	t.equal(state.phase, 'done');
});
