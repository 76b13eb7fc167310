/**
Adapter to a plain HTTP service.
*/
import {Agent, type Dispatcher} from 'undici';
import {err, ok, type Result} from 'neverthrow';
import type {AttemptMessage} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import {clock} from '../shared/clock.js';
import {failureCode} from './failure-code.js';
import type {Target} from './target.js';
import type {TargetResult} from './target-result.js';

const connectMilliseconds = 1000;
/** Shorter than servers usually keep idle connections, so that none is used just as it closes. */
const keepAliveMilliseconds = 2000;
const assumedCallMilliseconds = 20;
const smoothing = 0.1;

/**
A plain service beside a sidecar.

@example
```
const target = new PlainTarget('http://127.0.0.1:9000', 16);
```
*/
export class PlainTarget implements Target {
	readonly #address: string;
	readonly #parallelCalls: number;
	readonly #agent: Agent;
	#callMilliseconds = assumedCallMilliseconds;

	constructor(address: string, parallelCalls: number) {
		this.#address = address;
		this.#parallelCalls = parallelCalls;
		this.#agent = new Agent({connect: {timeout: connectMilliseconds}, keepAliveTimeout: keepAliveMilliseconds, connections: parallelCalls});
	}

	async run(message: AttemptMessage, onText: (text: string) => void, signal: AbortSignal): Promise<TargetResult> {
		const startedAt = clock();
		try {
			const answer = await this.#agent.request({
				origin: this.#address,
				path: message.path,
				method: message.method,
				headers: {'content-type': 'application/json', 'x-request-id': message.requestId, 'x-organisation': message.organisation},
				...message.body === '' ? {} : {body: message.body},
				signal,
			});
			const text = await answer.body.text();
			this.#callMilliseconds += smoothing * (clock() - startedAt - this.#callMilliseconds);
			onText(text);
			return {
				code: resultCode.ok, status: answer.statusCode, finishReason: 'stop', contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
			};
		} catch (error) {
			return {
				code: failureCode(error), status: 502, finishReason: 'error', contentType: '',
			};
		}
	}

	async state(): ReturnType<Target['state']> {
		return ok({
			capacity: {kind: 'plain', mostRunning: this.#parallelCalls, callMilliseconds: this.#callMilliseconds},
			role: 'mixed',
			isChanging: false,
			model: '',
			version: '',
		});
	}

	async order(): Promise<Result<void, {readonly code: number; readonly detail: string}>> {
		return err({code: resultCode.engineRefusedOrder, detail: 'a plain service takes no orders'});
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
