/**
Client of a model engine that streams OpenAI-style completions as server-sent events.

If a stream breaks or is idle for too long, it is resumed at the engine after the last
chunk received. The attempt is only lost if the engine refuses to resume the stream, or
after too many resumes.
*/
import {createParser} from 'eventsource-parser';
import {err, ok, type Result} from 'neverthrow';
import {Agent} from 'undici';
import type {TargetCapacity} from '../decisions/admission/target-capacity.js';
import type {AttemptMessage, EngineRole, Order} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import {failureCode} from './failure-code.js';
import type {Target} from './target.js';
import type {TargetResult} from './target-result.js';

const connectTimeoutMilliseconds = 1000;
const idleTimeoutMilliseconds = 5000;
const stateTimeoutMilliseconds = 1000;
const maxResumes = 3;

type ChunkJson = {readonly choices?: ReadonlyArray<{readonly text?: string; readonly delta?: {readonly content?: string}; readonly finish_reason?: string | undefined}>};
type EngineCapacity = Extract<TargetCapacity, {readonly kind: 'engine'}>;
type StateJson = Omit<EngineCapacity, 'kind'> & {readonly role: EngineRole; readonly changing: boolean; readonly model: string; readonly version: string};
type Stream = {
	readonly message: AttemptMessage;
	readonly onText: (text: string) => void;
	readonly signal: AbortSignal;
	/** Number of text chunks received; a resume continues after them. */
	chunkCount: number;
	finishReason: string | undefined;
};

const completed = (finishReason: string): TargetResult => ({
	code: resultCode.ok, status: 200, finishReason, contentType: 'text/event-stream',
});

const failed = (code: number, status = 502): TargetResult => ({
	code, status, finishReason: 'error', contentType: '',
});

const withStreaming = (body: string): string => JSON.stringify({...JSON.parse(body) as Record<string, unknown>, stream: true});

/**
Model engine on the same VM as the sidecar.

@example
```
const target = new ModelEngineTarget('http://127.0.0.1:8000', 30_000);
```
*/
export class ModelEngineTarget implements Target {
	readonly #address: string;
	readonly #longestOrderMilliseconds: number;
	readonly #agent = new Agent({
		connect: {timeout: connectTimeoutMilliseconds}, headersTimeout: idleTimeoutMilliseconds, bodyTimeout: idleTimeoutMilliseconds, connections: null,
	});

	constructor(address: string, longestOrderMilliseconds: number) {
		this.#address = address;
		this.#longestOrderMilliseconds = longestOrderMilliseconds;
	}

	async run(message: AttemptMessage, onText: (text: string) => void, signal: AbortSignal): Promise<TargetResult> {
		const stream: Stream = {
			message, onText, signal, chunkCount: 0, finishReason: undefined,
		};
		const first = await this.#read(stream, message.path, withStreaming(message.body));
		return first ?? this.#resume(stream, maxResumes);
	}

	async state(): ReturnType<Target['state']> {
		try {
			const answer = await this.#agent.request({
				origin: this.#address, path: '/state', method: 'GET', signal: AbortSignal.timeout(stateTimeoutMilliseconds),
			});
			const json = await answer.body.json() as StateJson;
			const {role, changing, model, version, ...capacity} = json;
			return ok({
				capacity: {kind: 'engine', ...capacity}, role, isChanging: changing, model, version,
			});
		} catch (error) {
			return err(`engine state: ${(error as Error).message}`);
		}
	}

	async order(order: Order, fencingNumber: number, sequence: number): Promise<Result<void, {readonly code: number; readonly detail: string}>> {
		try {
			const answer = await this.#agent.request({
				origin: this.#address,
				path: '/orders',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({...order, fencingNumber, sequence}),
				headersTimeout: this.#longestOrderMilliseconds,
				signal: AbortSignal.timeout(this.#longestOrderMilliseconds),
			});
			const text = await answer.body.text();
			return answer.statusCode === 200 ? ok(undefined) : err({code: resultCode.engineRefusedOrder, detail: text});
		} catch (error) {
			const code = failureCode(error) === resultCode.targetRefusedConnection ? resultCode.engineRefusedOrder : resultCode.engineLostInChange;
			return err({code, detail: (error as Error).message});
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #resume(stream: Stream, resumesLeft: number): Promise<TargetResult> {
		if (stream.signal.aborted || resumesLeft === 0) {
			await this.#cancel(stream.message.attemptId);
			return failed(resultCode.targetLost);
		}

		const body = JSON.stringify({id: stream.message.attemptId, from: stream.chunkCount});
		const result = await this.#read(stream, '/streams/resume', body);
		return result ?? this.#resume(stream, resumesLeft - 1);
	}

	/** Reads one stream to its end. Returns undefined if it broke before that and may be resumed. */
	async #read(stream: Stream, path: string, body: string): Promise<TargetResult | undefined> {
		const {message, onText, signal} = stream;
		const parser = createParser({
			onEvent({data}) {
				if (data === '[DONE]' || stream.finishReason !== undefined) {
					return;
				}

				const choice = (JSON.parse(data) as ChunkJson).choices?.[0];
				const text = choice?.text ?? choice?.delta?.content ?? '';
				if (text !== '') {
					stream.chunkCount += 1;
					onText(text);
				}

				stream.finishReason = choice?.finish_reason ?? undefined;
			},
		});
		try {
			const answer = await this.#agent.request({
				origin: this.#address,
				path,
				method: 'POST',
				headers: {'content-type': 'application/json', 'x-request-id': message.attemptId, 'x-importance': message.importance},
				body,
				signal,
			});
			if (answer.statusCode !== 200) {
				await answer.body.dump();
				return failed(resultCodeOf(answer.statusCode, stream.chunkCount), answer.statusCode);
			}

			answer.body.setEncoding('utf8');
			for await (const chunk of answer.body) {
				parser.feed(String(chunk));
			}
		} catch (error) {
			if (stream.chunkCount === 0 && failureCode(error) === resultCode.targetRefusedConnection) {
				return failed(resultCode.targetRefusedConnection);
			}
		}

		return stream.finishReason === undefined ? undefined : completed(stream.finishReason);
	}

	async #cancel(attemptId: string): Promise<void> {
		try {
			const answer = await this.#agent.request({
				origin: this.#address,
				path: '/streams/cancel',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({id: attemptId}),
				signal: AbortSignal.timeout(stateTimeoutMilliseconds),
			});
			await answer.body.dump();
		} catch {
			// The cancellation is best effort: an unreachable engine cannot be asked to cancel.
		}
	}
}

const resultCodeOf = (status: number, chunkCount: number): number => {
	if (status === 503 && chunkCount === 0) {
		return resultCode.targetLeaving;
	}

	return status === 400 ? resultCode.targetFailed : resultCode.targetLost;
};
