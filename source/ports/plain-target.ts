/**
Client of a plain HTTP service.
*/
import {Pool, type Dispatcher} from 'undici';
import {err, ok, type Result} from 'neverthrow';
import {classifyStatus} from '../decisions/entry/answers/classify-status.js';
import type {AttemptMessage} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import {clock} from '../shared/clock.js';
import {createResetAwareClient} from '../shared/reset-aware-client.js';
import {failureCode} from './failure-code.js';
import type {Target} from './target.js';
import type {TargetResult} from './target-result.js';

const connectTimeoutMilliseconds = 1000;
/** Shorter than the usual keep-alive timeout of servers, so that no request is sent on a connection that the server is closing. */
const keepAliveTimeoutMilliseconds = 2000;
/** Assumed call duration before the first call has been measured. */
const initialCallMilliseconds = 20;
/** Weight of the newest call in the moving average of call durations. */
const smoothingFactor = 0.1;

/** The result of a call that brought no answer. */
const broken = (code: number): TargetResult => ({
	code, status: 502, finishReason: 'error', contentType: '',
});

/**
Plain HTTP service on the same VM as the sidecar.

@example
```
const target = new PlainTarget('http://127.0.0.1:9000', 16);
```
*/
export class PlainTarget implements Target {
	readonly #parallelCalls: number;
	readonly #pool: Pool;
	#callMilliseconds = initialCallMilliseconds;

	constructor(address: string, parallelCalls: number) {
		this.#parallelCalls = parallelCalls;
		this.#pool = new Pool(address, {
			connections: parallelCalls,
			factory: origin => createResetAwareClient(origin, {connectTimeoutMilliseconds, keepAliveTimeout: keepAliveTimeoutMilliseconds}),
		});
	}

	async run(message: AttemptMessage, onText: (text: string) => void, signal: AbortSignal): Promise<TargetResult> {
		const startedAt = clock();
		try {
			const answer = await this.#pool.request({
				path: message.path,
				method: message.method,
				headers: {'content-type': 'application/json', 'x-request-id': message.requestId, 'x-organisation': message.organisation},
				...message.body === '' ? {} : {body: message.body},
				signal,
			});
			const text = await answer.body.text();
			this.#callMilliseconds += smoothingFactor * (clock() - startedAt - this.#callMilliseconds);
			if (classifyStatus(answer.statusCode) !== 'final') {
				return broken(resultCode.targetLost);
			}

			onText(text);
			return {
				code: resultCode.ok, status: answer.statusCode, finishReason: 'stop', contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
			};
		} catch (error) {
			return broken(failureCode(error));
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
		return err({code: resultCode.engineRefusedOrder, detail: 'a plain service does not accept orders'});
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}
