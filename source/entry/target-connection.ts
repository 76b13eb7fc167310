/**
Sends attempts to one target over one HTTP connection, one attempt at a time.
*/
import type {Dispatcher} from 'undici';
import {classifyStatus} from '../decisions/entry/classify-status.js';
import type {ConnectionHistory} from '../fleet/connection-history.js';
import {createResetAwareClient} from '../shared/reset-aware-client.js';
import type {AnswerPacer} from './answer-pacer.js';
import {AnswerReading} from './answer-reading.js';
import {CarriedRequests} from './carried-requests.js';
import {ownReasons} from './own-reasons.js';
import {SocketReading} from './socket-reading.js';

/** Timeout for opening a connection, enough for a target that is reachable. */
const connectTimeoutMilliseconds = 600;
/** Idle time after which a connection is closed, unless the target names another in `Keep-Alive`. */
const idleTimeoutMilliseconds = 4000;
/** How long before the idle timeout that a target names its connection is closed. */
const idleTimeoutMarginMilliseconds = 1000;
/** Interim answers (1xx) to one request after which its connection is closed. */
const maxInterimAnswers = 16;

type AttemptHandlers = {
	/** Called just before the first byte is written; false stops the attempt from being sent. */
	readonly mayStart: () => boolean;
	/** `history` says what the connection had carried before this attempt. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, history: ConnectionHistory) => void;
	/** Called for all bytes of the body that have arrived together. */
	readonly onData: (chunk: Uint8Array, flow: {readonly pause: () => void; readonly resume: () => void}) => void;
	readonly onEnd: (end: AttemptEnd) => void;
};

type AttemptEnd =
	| {readonly kind: 'complete'}
	| {readonly kind: 'not sent'; readonly reason: string}
	| {readonly kind: 'broken'; readonly reason: string};

type AttemptRequest = {readonly requestId: string; readonly method: string; readonly path: string; readonly headers: readonly string[]; readonly body: Uint8Array | undefined};

/**
One instance for each connection of the pool; when it has been closed while idle, the next attempt opens it again.

Invariant: `onEnd` is called exactly once an attempt, with `not sent` only if no byte of
it was written to the connection.

@example
```
const abort = connection.send({requestId: '9c41', method: 'GET', path: '/x', headers: [], body: undefined}, handlers);
```
*/
export class TargetConnection {
	lastUsedAt = 0;
	#isBusy = false;
	#opened = 0;
	#socketReading: SocketReading | undefined;
	readonly #carried = new CarriedRequests();
	readonly #pacer: AnswerPacer;
	readonly #client: Dispatcher;

	constructor(address: string, pacer: AnswerPacer) {
		this.#pacer = pacer;
		this.#client = createResetAwareClient(`http://${address}`, {
			connectTimeoutMilliseconds,
			keepAliveTimeout: idleTimeoutMilliseconds,
			keepAliveTimeoutThreshold: idleTimeoutMarginMilliseconds,
			keepAliveMaxTimeout: 30_000,
			headersTimeout: 0,
			bodyTimeout: 0,
			onSocket: socket => {
				this.#socketReading = new SocketReading(socket);
				this.#opened++;
				this.#carried.clear();
			},
		});
		this.#client.on('disconnect', () => {
			this.#carried.clear();
		});
	}

	get isBusy(): boolean {
		return this.#isBusy;
	}

	/** How often the connection has been opened. */
	get opened(): number {
		return this.#opened;
	}

	/** True when an answer on this connection may be that to an earlier attempt of this request. */
	hasCarried(requestId: string): boolean {
		return this.#carried.has(requestId);
	}

	/** Sends an attempt. Returns a function that aborts it with a reason and closes the connection. */
	send(request: AttemptRequest, handlers: AttemptHandlers): (reason: string) => void {
		this.#isBusy = true;
		let isStarted = false;
		let isEnded = false;
		let isStopped = false;
		let interimAnswers = 0;
		let history: ConnectionHistory = {isUsed: false, hasCarriedRequest: false};
		let reading: AnswerReading | undefined;
		let abort: (() => void) | undefined;
		const end = (result: AttemptEnd): void => {
			if (!isEnded) {
				isEnded = true;
				this.#isBusy = false;
				reading?.close();
				handlers.onEnd(result);
			}
		};

		const breakOff = (reason: string): void => {
			if (!isEnded) {
				end({kind: isStarted ? 'broken' : 'not sent', reason});
				abort?.();
			}
		};

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart: controller => {
				abort = () => {
					controller.abort(new Error('attempt aborted'));
				};

				if (isEnded || !handlers.mayStart()) {
					isStopped = true;
					abort();
					return;
				}

				isStarted = true;
				history = this.#carried.add(request.requestId);
				reading = new AnswerReading(this.#socketReading!, this.#pacer, {
					onData: handlers.onData,
					onError(error) {
						breakOff(error.message);
					},
				});
			},
			onResponseStart(_controller, status, headers) {
				if (isEnded) {
					return;
				}

				switch (classifyStatus(status)) {
					case 'final': {
						handlers.onHead(status, headers, history);
						return;
					}

					case 'interim': {
						interimAnswers++;
						if (interimAnswers > maxInterimAnswers) {
							breakOff(ownReasons.interim);
						}

						return;
					}

					case 'invalid': {
						breakOff(`invalid status ${status}`);
					}
				}
			},
			onResponseData(_controller, chunk) {
				reading?.receive(chunk);
			},
			onResponseEnd() {
				reading?.flush();
				end({kind: 'complete'});
			},
			onResponseError(_controller, error) {
				reading?.flush();
				end(isStarted && !isStopped ? {kind: 'broken', reason: error.message} : {kind: 'not sent', reason: isStopped ? 'no longer wanted' : error.message});
			},
		};
		this.#client.dispatch({
			method: request.method, path: request.path, headers: [...request.headers], body: request.body,
		}, handler);
		return breakOff;
	}

	/** Closes the connection; an attempt in progress is aborted. */
	destroy(): void {
		void this.#client.destroy();
	}
}
