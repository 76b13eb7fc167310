/**
Small decisions of an entry gateway, each with the fault or load that it handles.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {ConfigurationInForce} from '../../../source/decisions/entry/store/configuration-in-force.js';
import {isWellFormedRequest} from '../../../source/decisions/entry/requests/is-well-formed-request.js';
import {classifyAnswer} from '../../../source/decisions/entry/answers/classify-answer.js';
import {classifyStatus} from '../../../source/decisions/entry/answers/classify-status.js';
import {RateLimit} from '../../../source/decisions/entry/requests/rate-limit.js';
import {RouteTable} from '../../../source/decisions/entry/requests/route-table.js';
import {TargetHealth} from '../../../source/decisions/entry/targets/target-health.js';
import type {AnswerFacts} from '../../../source/fleet/answer-facts.js';
import type {ConnectionHistory} from '../../../source/fleet/connection-history.js';
import type {FleetConfiguration} from '../../../source/fleet/fleet-configuration.js';
import type {Route} from '../../../source/fleet/route.js';

const route = (name: string, pathPrefix: string, host = 'a.example'): Route => ({
	name, host, pathPrefix, kind: 'idempotent', isResumable: false, timeoutMilliseconds: 1000, targetLatencyMilliseconds: 100, firstEventPatienceMilliseconds: 2000, priority: 0, isPublic: false, mostAttempts: 1, split: [{service: 's', weight: 1}],
});

const configuration = (version: number, routes: readonly Route[] = []): FleetConfiguration => ({
	version, routes, services: [], limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
});

const facts = (more: Partial<AnswerFacts>): AnswerFacts => ({
	status: 200, requestId: 'r1', isSigned: true, isNotRun: false, isOtherTarget: false, isEncoded: false, isDelimited: true, isLeaving: false, pauseMilliseconds: undefined, load: undefined, isLoadMalformed: false, rateLimit: {kind: 'none'}, headers: {}, ...more,
});

test('the longest matching prefix of the host is used, and the query is not part of the path', t => {
	const table = new RouteTable([route('short', '/a/'), route('long', '/a/b/'), route('other', '/a/b/c/', 'b.example')]);
	const nameOf = (host: string, path: string): string => {
		const found = table.find(host, path);
		return option.isSome(found) ? found.value.name : 'none';
	};

	t.equal(nameOf('a.example', '/a/b/c/d'), 'long');
	t.equal(nameOf('A.example:80', '/a/x?y=/a/b/'), 'short');
	t.equal(nameOf('b.example', '/a/b/c/'), 'other');
	t.equal(nameOf('a.example', '/ab/'), 'none');
	t.equal(nameOf('c.example', '/a/'), 'none');
	t.end();
});

test('a configuration is replaced only by a newer one, and is fresh only after a read of the store', t => {
	const inForce = new ConfigurationInForce();
	t.equal(inForce.isFresh(0), false);
	t.equal(inForce.adopt(configuration(5), 'peer', 0), true);
	t.equal(inForce.isFresh(0), false);
	t.equal(inForce.adopt(configuration(4), 'store', 10), false);
	t.equal(inForce.version, 5);
	t.equal(inForce.adopt(configuration(9), 'store', 20), true);
	t.equal(inForce.isFresh(1000), true);
	t.equal(inForce.isFresh(2000), false);
	t.end();
});

const firstOnConnection: ConnectionHistory = {isUsed: false, hasCarriedRequest: false};

/** What an answer means for the request `r1`. */
const classify = (more: Partial<AnswerFacts>, history = firstOnConnection, isForCaller = true): string => classifyAnswer(facts(more), {requestId: 'r1', isForCaller, history});

test('an answer is accepted only if it names the request', t => {
	t.equal(classify({}), 'answer');
	t.equal(classify({requestId: 'r2'}), 'foreign');
	t.equal(classify({requestId: undefined}), 'foreign');
	t.equal(classify({isSigned: false}), 'foreign');
	t.equal(classify({isSigned: false}, firstOnConnection, false), 'answer');
	t.equal(classify({isEncoded: true}), 'foreign');
	t.equal(classify({status: 500}), 'failure');
	t.equal(classify({status: 404, isSigned: false}), 'answer');
	t.equal(classify({status: 503, isNotRun: true, requestId: undefined}), 'not run');
	t.equal(classify({status: 503, isNotRun: true, requestId: 'r2'}), 'foreign');
	t.equal(classify({
		status: 421, isOtherTarget: true, isNotRun: true, requestId: undefined,
	}), 'other target');
	t.equal(classify({
		status: 421, isOtherTarget: true, isNotRun: true, requestId: 'r2',
	}), 'foreign');
	t.end();
});

// Guards against telling a caller that a request has not run because an earlier one was refused on the same connection.
test('REFUSED: a refusal is taken for this request\'s only if it cannot be that of an earlier one', t => {
	const used = {isUsed: true, hasCarriedRequest: false};
	const again = {isUsed: true, hasCarriedRequest: true};
	for (const more of [{status: 503, isNotRun: true}, {status: 429, isNotRun: true}, {status: 421, isNotRun: true, isOtherTarget: true}]) {
		const own = more.status === 421 ? 'other target' : 'not run';
		t.equal(classify({...more, requestId: undefined}), own);
		t.equal(classify({...more, requestId: undefined}, used), 'unattributed');
		t.equal(classify(more, used), own);
		t.equal(classify(more, again), 'unattributed');
		t.equal(classify({...more, requestId: 'r2'}, used), 'foreign');
	}

	t.equal(classify({}, used), 'answer');
	t.equal(classify({}, again), 'unattributed');
	t.equal(classify({status: 500}, again), 'unattributed');
	t.equal(classify({requestId: undefined}, used), 'foreign');
	t.end();
});

test('requests with ambiguous framing are not well-formed', t => {
	const wellFormed = ['Host', 'a', 'Content-Length', '3'];
	t.equal(isWellFormedRequest('/x', wellFormed), true);
	t.equal(isWellFormedRequest('/x', ['Host', 'a', 'Transfer-Encoding', 'chunked']), true);
	t.equal(isWellFormedRequest('x', wellFormed), false);
	t.equal(isWellFormedRequest('/x', [...wellFormed, 'Content-Length', '3']), false);
	t.equal(isWellFormedRequest('/x', [...wellFormed, 'Transfer-Encoding', 'chunked']), false);
	t.equal(isWellFormedRequest('/x', ['Host', 'a', 'Transfer-Encoding', 'gzip, chunked']), false);
	t.equal(isWellFormedRequest('/x', ['Host', 'a', 'Content-Length', '+3']), false);
	t.equal(isWellFormedRequest('/x', ['Content-Length', '3']), false);
	t.equal(isWellFormedRequest('/x', [...wellFormed, 'Host', 'b']), false);
	t.equal(isWellFormedRequest('/x', [...wellFormed, 'X Y', '1']), false);
	t.end();
});

test('a target is avoided after three lost attempts in a row, but not when its service often returns failures', t => {
	const health = new TargetHealth();
	t.equal(health.recordFailure('a', 'lost', 0), false);
	t.equal(health.recordFailure('a', 'lost', 1), false);
	t.equal(health.recordFailure('a', 'lost', 2), true);
	t.equal(health.isAvoided('a', 100), true);
	t.equal(health.isAvoided('a', 500), false, 'tried again');
	t.equal(health.recordFailure('a', 'lost', 500), true, 'avoided again at the first failure');
	t.equal(health.isAvoided('a', 1200), true, 'for longer');
	const outcomes = Array.from({length: 200}, (_, index) => index % 7 === 0);
	const avoided = outcomes.filter(isFailure => {
		if (isFailure) {
			return health.recordFailure('b', 'answered', 0);
		}

		health.recordSuccess('b');
		return false;
	});
	t.equal(avoided.length, 0);
	t.end();
});

test('no more events pass than the rate allows', t => {
	const limit = new RateLimit(10);
	const passed = Array.from({length: 1000}, (_, index) => limit.tryTake(index * 10)).filter(Boolean).length;
	t.ok(passed >= 100 && passed <= 111, String(passed));
	t.end();
});

test('a silent target with open attempts is avoided until it sends something or the attempts end', t => {
	const health = new TargetHealth();
	health.recordSent('a', 0, 0);
	health.recordSent('a', 0, 500);
	t.equal(health.isAvoided('a', 1000), false);
	t.equal(health.isAvoided('a', 1800), true);
	t.strictSame(health.takeSilent(1800), ['a']);
	t.strictSame(health.takeSilent(1900), [], 'reported once');
	health.recordReceived('a', 2000);
	t.equal(health.isAvoided('a', 2100), false);
	t.equal(health.isAvoided('a', 3300), true);
	health.recordEnded('a');
	t.equal(health.isAvoided('a', 3300), true);
	health.recordEnded('a');
	t.equal(health.isAvoided('a', 9000), false, 'a target without open attempts is not silent');
	t.end();
});

test('an engine is not silent during the expected prefill of a long prompt', t => {
	const health = new TargetHealth();
	health.recordSent('a', 2700, 0);
	t.equal(health.isSilent('a', 3000), false);
	t.equal(health.isSilent('a', 4000), true);
	t.end();
});

// Guards against passing on what a target in trouble wrote in place of a status.
test('a status outside 100 to 599, and a switch of protocols, begin no answer', t => {
	const kinds = [0, 99, 100, 101, 102, 199, 200, 599, 600, 999].map(status => classifyStatus(status));
	t.strictSame(kinds, ['invalid', 'invalid', 'interim', 'invalid', 'interim', 'interim', 'final', 'final', 'invalid', 'invalid']);
	t.end();
});
