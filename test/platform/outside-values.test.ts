/**
Values that callers and targets write: whatever they are, the messages to peers that hold them are valid.
*/
import process from 'node:process';
import fc from 'fast-check';
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import type {Logger} from 'roarr';
import {decodeCacheChanges} from '../../platform/decode-cache-changes.js';
import {targetProtocol} from '../../platform/target-protocol.js';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {sharedPrefix} from '../../source/decisions/entry/prompts/shared-prefix.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {TargetRateLimits} from '../../source/entry/target-rate-limits.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {validatePeerMessages} from '../../source/generated/validators.js';
import {VirtualTime} from '../support/virtual-time.js';
import {LoneGateway} from '../support/lone-gateway.js';

const seed = Number(process.env.SEED ?? 20_261_207);
const numberRuns = Number(process.env.RUNS ?? 500);
const maxFrameBytes = 4_194_304;
const millisecondsPerToken = 0.03;

const hostileCount = fc.oneof(
	fc.constantFrom('1e200', '1e308', '1e400', '-1', '0.5', '17.25', 'NaN', 'Infinity', '', ' ', '0x10', '1_000', '99999999999999999999', '1460', '0', '\u0663'),
	fc.double().map(String),
	fc.string({maxLength: 12}),
);
const hostileId = fc.oneof(fc.string({maxLength: 8}), fc.constantFrom('', ' ', '5c1e07a2', '__proto__', 'x'.repeat(15_000)));
const hostileParts = fc.array(fc.tuple(hostileId, hostileCount).map(([id, count]) => `${id}:${count}`), {maxLength: 12}).map(parts => parts.join(','));

// Guards against a caller whose token counts make a digest that all peers refuse, so that all links close.
test('whatever a caller writes into the headers of a prompt, the digest that holds its parts is valid', async t => {
	fc.assert(fc.property(hostileCount, hostileCount, hostileParts, (counts, output, parts) => {
		const facts = targetProtocol.readRequest(['X-Request-Id', 'r', 'X-Token-Count', `${counts},${output}`, 'X-Prompt-Prefix', parts]);
		const cache = new PrefixCacheIndex();
		const loads = new LoadTracker();
		const prefix = sharedPrefix(facts);
		cache.recordSent('i-1 1', prefix.parts, 10);
		loads.add('i-1', ((facts.prompt?.tokens ?? 0) + prefix.tokens) * millisecondsPerToken);
		const {sent} = cache.takeUpdates();
		const outstanding = loads.ownLoads();
		const digest = LoneGateway.digestOf({
			sent: {engines: sent.map(({engine}) => engine), parts: sent.map(({part}) => part), tokens: sent.map(({tokens}) => tokens)},
			outstanding: {ids: outstanding.map(({id}) => id), attempts: outstanding.map(({attempts}) => attempts), readMilliseconds: outstanding.map(({readMilliseconds}) => readMilliseconds)},
		});
		return validatePeerMessages(digest)
			&& Number.isSafeInteger(prefix.tokens)
			&& outstanding.every(({readMilliseconds}) => Number.isSafeInteger(readMilliseconds))
			&& JSON.stringify(digest).length < maxFrameBytes / 100;
	}), {seed, numRuns: numberRuns});
	t.pass(`seed ${seed}, ${numberRuns} runs`);
});

// Guards against the same by an engine that reports what it caches.
test('whatever an engine reports of its cache, the digest that passes it on is valid', async t => {
	const hostileValue = fc.oneof(fc.anything(), fc.constantFrom(1e200, 1e308, 0.5, -1, 13_300), hostileId);
	fc.assert(fc.property(fc.array(fc.tuple(hostileValue, hostileValue), {maxLength: 12}), rows => {
		const body = JSON.stringify({
			epoch: 7, next: 2, lost: false, events: rows.map(([part, tokens]) => [1, '+', '', part, tokens, 'm']), held: rows.map(([part, tokens]) => ['', part, tokens, 'm']),
		});
		const report = decodeCacheChanges(body);
		const changes = option.isSome(report) ? report.value.changes : [];
		return validatePeerMessages(LoneGateway.digestOf({
			told: {
				engines: ['i-1 1'], rows: changes.map(() => 0), parts: changes.map(({part}) => part), tokens: changes.map(({tokens}) => tokens), isWhole: false,
			},
		})) && changes.every(({part}) => part.length <= 64);
	}), {seed, numRuns: numberRuns});
	t.pass(`seed ${seed}, ${numberRuns} runs`);
});

test('counts and ids that are proper stay as they are, and a part without an id ends the shared beginning', async t => {
	t.match(targetProtocol.readRequest(['X-Token-Count', ' 1460 , 80', 'X-Prompt-Prefix', '5c1e07a2:800, 91bd3f06:410,e4402b7d:x']), {
		prompt: {tokens: 1460, parts: [{id: '5c1e07a2', tokens: 800}, {id: '91bd3f06', tokens: 410}, {id: 'e4402b7d', tokens: 0}]},
	});
	t.strictSame(targetProtocol.readRequest(['X-Token-Count', '9', 'X-Prompt-Prefix', `aa:1,${'x'.repeat(65)}:1,bb:1`]).prompt, {tokens: 9, parts: [{id: 'aa', tokens: 1}]});
	t.equal(targetProtocol.readRequest(['X-Token-Count', '1e200,5', 'X-Prompt-Prefix', 'aa:1']).prompt, undefined);
	const headers = ['X-Token-Count', '1e200,5', 'X-Prompt-Prefix', `${'x'.repeat(65)}:0.5`];
	t.strictSame(targetProtocol.readRequest(headers).headers, headers, 'what the caller wrote is forwarded as it is');
});

// Guards against a target whose rate limit makes messages that all peers refuse.
test('whatever a target writes as its rate limit, the messages that hold it are valid, and no permit is issued without end', async t => {
	const target = {...LoneGateway.target('i-1'), service: 'floor'};
	await fc.assert(fc.asyncProperty(fc.oneof(hostileCount, fc.constantFrom('999999999', '0.000000001', '999999999.999999999')), fc.boolean(), fc.integer({min: 1, max: 1000}), async (text, isOwner, wanted) => {
		const time = new VirtualTime();
		const sent: PeerMessage[] = [];
		const peer = {name: 'gateway-2', address: isOwner ? '10.0.0.1:1' : '10.0.0.9:1'};
		const limits = new TargetRateLimits({
			fleet: () => ({own: '10.0.0.5:1', linked: [peer], unlinked: []}),
			gatewayCount: () => 2,
			send(_, message) {
				sent.push(message);
			},
			broadcast(message) {
				sent.push(message);
			},
			onPermits: () => undefined,
			log: {info: () => undefined} as unknown as Logger,
			metrics: new EntryMetrics(),
			now: () => time.now,
			timers: time,
		});
		await time.run(4000.5);
		limits.record(target, targetProtocol.readAnswer(200, {'server-limit': text}).rateLimit, time.now);
		limits.want([target.incarnation]);
		limits.receive(peer.name, {
			kind: 'permit ask', target: target.incarnation, wanted, askedAt: 1, requestsPerSecond: 4, ageMilliseconds: 60_000,
		});
		await time.run(5000.5);
		const delay = limits.returnMilliseconds('floor', [target.incarnation]);
		return sent.every(message => validatePeerMessages(message)) && sent.length < 100 && Number.isFinite(delay);
	}), {seed, numRuns: Math.min(numberRuns, 200)});
	t.pass(`seed ${seed}`);
});
