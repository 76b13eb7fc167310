/**
Malformed input of every kind is rejected without an exception: frames, documents, stored
records, requests.
*/
import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {test} from 'tap';
import {parseAccepted} from '../../source/configuration/parse-accepted.js';
import {parseDocument} from '../../source/configuration/parse-document.js';
import type {Configuration} from '../../source/generated/configuration.js';
import {readModelRequest} from '../../source/gateway/read-model-request.js';
import {ServiceCatalogue} from '../../source/gateway/service-catalogue.js';
import {decodeMessage} from '../../source/links/decode-message.js';
import {encodeMessage} from '../../source/links/encode-message.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const numberRuns = Number(process.env.RUNS ?? 2000);

test('a malformed frame is an error, never an exception', async t => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => decodeMessage(bytes).isOk() || decodeMessage(bytes).isErr()), {seed, numRuns: numberRuns});
	fc.assert(fc.property(fc.anything(), value => {
		let frame: Uint8Array;
		try {
			frame = pack(value);
		} catch {
			return true;
		}

		return decodeMessage(frame).isErr();
	}), {seed, numRuns: numberRuns});
	t.pass(`seed ${seed}, ${numberRuns} runs each`);
});

test('a truncated or altered frame is an error or a valid message', async t => {
	const frame = Buffer.from(encodeMessage({
		kind: 'output', attemptId: 'a', sequence: 3, text: 'oak',
	}));
	fc.assert(fc.property(fc.nat(frame.length - 1), fc.nat(255), fc.boolean(), (position, byte, isTruncated) => {
		const altered = isTruncated ? frame.subarray(0, position) : Buffer.from(frame);
		if (!isTruncated) {
			altered[position] = byte;
		}

		return decodeMessage(altered).match(message => typeof message.kind === 'string', reason => reason !== '');
	}), {seed, numRuns: numberRuns});
	t.pass();
});

test('any text that is not a valid document or stored record gives errors that are not empty', async t => {
	fc.assert(fc.property(fc.string({maxLength: 300}), text => parseDocument(text).match(() => true, errors => errors.length > 0 && errors.every(error => error !== ''))), {seed, numRuns: numberRuns});
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => parseAccepted(text).isErr()), {seed, numRuns: numberRuns});
	t.pass();
});

test('any body of a model request gives a request or a refusal with a result code', async t => {
	const configuration: Configuration = {models: [{name: 'm', version: '1'}], services: [{name: 's', kind: 'model', model: 'm'}]};
	const catalogue = new ServiceCatalogue(configuration);
	const fields = fc.tuple(fc.anything(), fc.anything(), fc.anything())
		.map(([prompt, messages, maxTokens]) => Object.fromEntries([['model', 'm'], ['prompt', prompt], ['messages', messages], ['max_tokens', maxTokens]]));
	const body = fc.oneof(fc.anything(), fields);
	fc.assert(fc.property(body, value => readModelRequest({path: '/v1/completions', body: value, headers: {}}, catalogue).match(
		request => request.service === 's' && request.outputTokens > 0,
		({code, detail}) => code > 1000 && detail.startsWith('body'),
	)), {seed, numRuns: numberRuns});
	t.pass();
});
