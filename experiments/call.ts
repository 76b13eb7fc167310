/**
One caller: sends a request to a gateway and checks the answer.
*/
import {createParser} from 'eventsource-parser';
import {Agent} from 'undici';
import {answerToken} from '../stand-ins/answer-token.js';
import type {CallOutcome} from './call-outcome.js';

type Call =
	| {readonly kind: 'model'; readonly label: string; readonly prompt: string; readonly outputTokens: number; readonly model: string; readonly organisation: string}
	| {readonly kind: 'plain'; readonly label: string; readonly service: string; readonly method: 'GET' | 'POST'; readonly path: string; readonly body: string; readonly idempotencyKey: string};
type ErrorJson = {readonly error?: {readonly code: number; readonly ran: 'not run' | 'ran' | 'unknown'}};

const agent = new Agent({connections: 512, headersTimeout: 120_000, bodyTimeout: 120_000});

const expectedAnswer = (prompt: string, outputTokens: number): string =>
	Array.from({length: outputTokens}, (_, index) => answerToken(prompt, index)).join('');

const lost = (label: string, path: string, startedAt: number): CallOutcome => ({
	label,
	path,
	startedAt,
	ending: 'connection lost',
	code: -1,
	isRight: true,
	firstTokenMilliseconds: 0,
	tokenGapsMilliseconds: [],
	totalMilliseconds: performance.now() - startedAt,
	requestId: '',
	retryAfterSeconds: 0,
});

const callModel = async (gateway: string, call: Extract<Call, {readonly kind: 'model'}>): Promise<CallOutcome> => {
	const startedAt = performance.now();
	const arrivals: number[] = [];
	let text = '';
	let isDone = false;
	let error: ErrorJson['error'];
	const parser = createParser({
		onEvent({event, data}) {
			if (event === 'error') {
				error = (JSON.parse(data) as ErrorJson).error;
				return;
			}

			if (data === '[DONE]') {
				isDone = true;
				return;
			}

			const part = (JSON.parse(data) as {readonly choices: ReadonlyArray<{readonly text: string}>}).choices[0]?.text ?? '';
			if (part !== '') {
				arrivals.push(performance.now());
				text += part;
			}
		},
	});
	try {
		const answer = await agent.request({
			origin: gateway,
			path: '/v1/completions',
			method: 'POST',
			headers: {'content-type': 'application/json', 'x-organisation': call.organisation},
			body: JSON.stringify({
				model: call.model, prompt: call.prompt, max_tokens: call.outputTokens, stream: true, // eslint-disable-line @typescript-eslint/naming-convention
			}),
		});
		answer.body.setEncoding('utf8');
		let whole = '';
		for await (const chunk of answer.body) {
			whole += answer.statusCode === 200 ? '' : String(chunk);
			parser.feed(answer.statusCode === 200 ? String(chunk) : '');
		}

		error ??= whole === '' ? undefined : (JSON.parse(whole) as ErrorJson).error;
		const expected = expectedAnswer(call.prompt, call.outputTokens);
		return {
			label: call.label,
			path: '',
			startedAt,
			ending: isDone ? 'answered' : error?.ran ?? 'connection lost',
			code: error?.code ?? 0,
			isRight: isDone ? text === expected : expected.startsWith(text),
			firstTokenMilliseconds: (arrivals[0] ?? startedAt) - startedAt,
			tokenGapsMilliseconds: arrivals.slice(1).map((at, index) => at - (arrivals[index] ?? at)),
			totalMilliseconds: performance.now() - startedAt,
			requestId: String(answer.headers['x-request-id'] ?? ''),
			retryAfterSeconds: Number(answer.headers['retry-after'] ?? 0),
		};
	} catch {
		return lost(call.label, '', startedAt);
	}
};

const callPlain = async (gateway: string, call: Extract<Call, {readonly kind: 'plain'}>): Promise<CallOutcome> => {
	const startedAt = performance.now();
	try {
		const answer = await agent.request({
			origin: gateway,
			path: `/services/${call.service}${call.path}`,
			method: call.method,
			headers: {'content-type': 'application/json', ...call.idempotencyKey === '' ? {} : {'idempotency-key': call.idempotencyKey}},
			...call.method === 'GET' ? {} : {body: call.body},
		});
		const json = await answer.body.json() as ErrorJson & {readonly path?: string; readonly id?: string; readonly received?: unknown};
		const isAnswered = answer.statusCode === 200;
		return {
			label: call.label,
			path: call.path,
			startedAt,
			ending: isAnswered ? 'answered' : json.error?.ran ?? 'unknown',
			code: json.error?.code ?? 0,
			isRight: !isAnswered || (json.path === call.path && (call.method === 'GET' || JSON.stringify(json.received) === call.body)),
			firstTokenMilliseconds: performance.now() - startedAt,
			tokenGapsMilliseconds: [],
			totalMilliseconds: performance.now() - startedAt,
			requestId: String(answer.headers['x-request-id'] ?? ''),
			retryAfterSeconds: Number(answer.headers['retry-after'] ?? 0),
		};
	} catch {
		return lost(call.label, call.path, startedAt);
	}
};

/**
Makes one call and says how it ended; never throws.

@example
```
const outcome = await makeCall(fleet.callers('gateway-1'), call);
```
*/
export const makeCall = async (gateway: string, call: Call): Promise<CallOutcome> =>
	call.kind === 'model' ? callModel(gateway, call) : callPlain(gateway, call);
