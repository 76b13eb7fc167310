/**
One request at a gateway: order, ownership and truth of its answer.
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

/** Feeds events and returns the last state with all effects. */
const feed = (state: RequestState, ...events: readonly RequestEvent[]) => {
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
const written = (effects: ReturnType<typeof feed>['effects']): string => effects.map(effect => effect.kind === 'write' ? effect.text : '').join('');

test('each part is written once and in order, whatever arrives twice', async t => {
	const {effects} = feed(start(true), chosen, sent, output(1), output(1), output(2), output(1), output(2), output(3));
	t.equal(written(effects), '1;2;3;');
});

test('a gap is not written over; the rest is asked for again', async t => {
	const {effects} = feed(start(true), chosen, sent, output(1), output(3));
	t.equal(written(effects), '1;');
	t.match(effects.at(-1), {kind: 'resume attempt', receivedThrough: 1});
});

test('what arrives for a former attempt is dropped', async t => {
	const {effects, state} = feed(
		start(true),
		chosen,
		sent,
		output(1),
		{kind: 'target lost', attemptId: 'a1', mayRetry: true},
		{kind: 'target chosen', attemptId: 'a2', target: 't2'},
		output(1, 'a1'),
		output(2, 'a1'),
	);
	t.equal(written(effects), '1;');
	t.equal(state.emitted, '1;');
});

test('a stream goes on elsewhere behind what the caller has', async t => {
	const {effects} = feed(start(true), chosen, sent, output(1), output(2), {kind: 'target lost', attemptId: 'a1', mayRetry: true}, {kind: 'target chosen', attemptId: 'a2', target: 't2'});
	t.match(effects.at(-1), {kind: 'send attempt', emitted: '1;2;', emittedParts: 2});
});

test('a call that may have run and may not be repeated ends as unknown', async t => {
	const {effects} = feed(start(false), chosen, sent, {kind: 'target lost', attemptId: 'a1', mayRetry: true});
	t.match(effects.at(-1), {kind: 'fail', code: resultCode.linkLost});
});

test('a call that surely did not run is tried elsewhere', async t => {
	const {effects} = feed(start(false), chosen, sent, {
		kind: 'attempt unknown', attemptId: 'a1', certainlyNotRun: true, mayRetry: true,
	});
	t.match(effects.at(-1), {kind: 'choose target', avoid: ['t1']});
});

test('a refusal after an attempt that may have run is not called "not run"', async t => {
	const {effects} = feed(
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

test('a request given up on is answered at once with when to come back', async t => {
	const {effects, state} = feed(start(true), chosen, sent, {
		kind: 'refused', attemptId: 'a1', code: resultCode.queueFull, retryAfterMilliseconds: 700, mayRetry: false,
	});
	t.match(effects, [{kind: 'send attempt'}, {kind: 'refuse', code: resultCode.queueFull, retryAfterMilliseconds: 700}]);
	t.equal(state.phase, 'done');
});
