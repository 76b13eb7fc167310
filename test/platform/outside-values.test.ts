/**
Values that callers and targets write: whatever they are, the messages to peers that hold them are valid.
*/
import process from 'node:process';
import fc from 'fast-check';
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {decodeCacheChanges} from '../../platform/decode-cache-changes.js';
import {targetProtocol} from '../../platform/target-protocol.js';
import {PrefixCacheIndex} from '../../source/decisions/entry/caches/prefix-cache-index.js';
import {sharedPrefix} from '../../source/decisions/entry/prompts/shared-prefix.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {validatePeerMessages} from '../../source/generated/validators.js';
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
