/**
Which observation of a target's rate limit counts.
*/
import {test} from 'tap';
import {RateLimitKnowledge} from '../../../source/decisions/limits/rate-limit-knowledge.js';

const named = (requestsPerSecond: number) => ({kind: 'named', requestsPerSecond}) as const;
const none = {kind: 'none'} as const;

test('a limit begins, changes and ends as answers say', t => {
	const knowledge = new RateLimitKnowledge();
	t.equal(knowledge.observe('i-1 1', none, {sentAt: 10, now: 20}), undefined);
	t.match(knowledge.observe('i-1 1', named(8.6), {sentAt: 20, now: 30}), {kind: 'begun', requestsPerSecond: 8.6});
	t.equal(knowledge.observe('i-1 1', named(8.6), {sentAt: 31, now: 40}), undefined);
	t.match(knowledge.observe('i-1 1', named(0), {sentAt: 41, now: 50}), {kind: 'changed', requestsPerSecond: 0, former: 8.6});
	t.equal(knowledge.limitOf('i-1 1'), 0);
	t.match(knowledge.observe('i-1 1', none, {sentAt: 51, now: 60}), {kind: 'ended', former: 0});
	t.equal(knowledge.limitOf('i-1 1'), undefined);
	t.end();
});

// Guards against a limit that ends by an answer that was under way when it was named.
test('an answer to a request that was sent before the limit was last named does not end it', t => {
	const knowledge = new RateLimitKnowledge();
	knowledge.observe('i-1 1', named(4.2), {sentAt: 100, now: 120});
	t.equal(knowledge.observe('i-1 1', none, {sentAt: 119, now: 130}), undefined);
	t.equal(knowledge.observe('i-1 1', none, {sentAt: undefined, now: 140}), undefined);
	t.equal(knowledge.observe('i-1 1', {kind: 'malformed'}, {sentAt: 130, now: 140}), undefined);
	t.equal(knowledge.limitOf('i-1 1'), 4.2);
	t.end();
});

test('what a peer has observed counts if it is newer, and a new incarnation has no limit', t => {
	const knowledge = new RateLimitKnowledge();
	t.match(knowledge.adopt('i-1 1', {requestsPerSecond: 4.2, at: 100}), {kind: 'begun'});
	t.equal(knowledge.adopt('i-1 1', {requestsPerSecond: undefined, at: 90}), undefined);
	t.equal(knowledge.limitOf('i-1 1'), 4.2);
	t.match(knowledge.adopt('i-1 1', {requestsPerSecond: undefined, at: 110}), {kind: 'ended'});
	t.equal(knowledge.limitOf('i-1 2'), undefined);
	knowledge.keepOnly(new Set(['i-1 2']));
	t.equal(knowledge.of('i-1 1'), undefined);
	t.end();
});
