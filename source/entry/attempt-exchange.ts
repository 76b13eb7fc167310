/**
One attempt on its connection: translates what the HTTP client reports of it, and decides how it ended.
*/
import type {Dispatcher} from 'undici';
import {classifyStatus} from '../decisions/entry/answers/classify-status.js';
import type {ConnectionHistory} from '../fleet/connection-history.js';
import type {AnswerPacer} from './answer-pacer.js';
import {AnswerReading} from './answer-reading.js';
import type {AttemptHandlers} from './attempt-handlers.js';
import {ownReasons} from './own-reasons.js';
import type {SocketReading} from './socket-reading.js';

type AttemptEnd = Parameters<AttemptHandlers['onEnd']>[0];

/** What an attempt asks of its connection; one for all its attempts. */
type ConnectionHooks = {
	readonly pacer: AnswerPacer;
	/** Called when the attempt at this request is about to be written. Returns what the connection carried before, and the reading of its socket. */
	readonly begin: (requestId: string) => {readonly history: ConnectionHistory; readonly socketReading: SocketReading};
	/** Called when the connection may carry another attempt, before the attempt's own `onEnd`. */
	readonly free: () => void;
};

/** Interim answers (1xx) to one request after which its connection is closed. */
const maxInterimAnswers = 16;

/**
One instance an attempt.

Invariant: `onEnd` is called exactly once, with `not sent` only if no byte of the attempt was written.

@example
```
const exchange = new AttemptExchange('9c41', handlers, hooks);
client.dispatch({method, path, headers, body}, exchange);
exchange.breakOff('silent');
```
*/
export class AttemptExchange implements Dispatcher.DispatchHandler {
	#isStarted = false;
	/** True when the attempt was stopped before it was written. */
	#isStopped = false;
	#isEnded = false;
	#interimAnswers = 0;
	#history: ConnectionHistory = {isUsed: false, hasCarriedRequest: false};
	#reading: AnswerReading | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	readonly #requestId: string;
	readonly #handlers: AttemptHandlers;
	readonly #hooks: ConnectionHooks;

	constructor(requestId: string, handlers: AttemptHandlers, hooks: ConnectionHooks) {
		this.#requestId = requestId;
		this.#handlers = handlers;
		this.#hooks = hooks;
	}

	/** Ends the attempt for a reason, and closes its connection; without effect once it has ended. */
	breakOff(reason: string): void {
		if (!this.#isEnded) {
			this.#end({kind: this.#isStarted ? 'broken' : 'not sent', reason});
			this.#abort();
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isEnded || !this.#handlers.mayStart()) {
			this.#isStopped = true;
			this.#abort();
			return;
		}

		this.#isStarted = true;
		const {history, socketReading} = this.#hooks.begin(this.#requestId);
		this.#history = history;
		this.#reading = new AnswerReading(socketReading, this.#hooks.pacer, {
			onData: this.#handlers.onData,
			onError: error => {
				this.breakOff(error.message);
			},
		});
	}

	onResponseStart(...[, status, headers]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>): void {
		if (this.#isEnded) {
			return;
		}

		switch (classifyStatus(status)) {
			case 'final': {
				this.#handlers.onHead(status, headers, this.#history);
				return;
			}

			case 'interim': {
				this.#interimAnswers++;
				if (this.#interimAnswers > maxInterimAnswers) {
					this.breakOff(ownReasons.interim);
				}

				return;
			}

			case 'invalid': {
				this.breakOff(`invalid status ${status}`);
			}
		}
	}

	onResponseData(...[, chunk]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseData']>>): void {
		this.#reading?.receive(chunk);
	}

	onResponseEnd(): void {
		this.#reading?.flush();
		this.#end({kind: 'complete'});
	}

	onResponseError(...[, {message}]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseError']>>): void {
		this.#reading?.flush();
		const isSent = this.#isStarted && !this.#isStopped;
		this.#end(isSent ? {kind: 'broken', reason: message} : {kind: 'not sent', reason: this.#isStopped ? 'no longer wanted' : message});
	}

	#abort(): void {
		this.#controller?.abort(new Error('attempt aborted'));
	}

	#end(end: AttemptEnd): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#hooks.free();
			this.#reading?.close();
			this.#handlers.onEnd(end);
		}
	}
}
