/**
One connection to one target, which carries one attempt at a time.
*/
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** Time for a new connection to a target in reach. */
const connectMilliseconds = 600;
/** Idle time after which a connection is closed when the target names no other. */
const idleMilliseconds = 4000;
/** Margin by which an idle connection is closed before the target would close it. */
const idleMarginMilliseconds = 1000;

type AttemptHandlers = {
	/** Asked at the moment before the first byte is handed over; false keeps the attempt from being sent. */
	readonly mayStart: () => boolean;
	readonly onHead: (status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>) => void;
	readonly onData: (chunk: Uint8Array, flow: {readonly pause: () => void; readonly resume: () => void}) => void;
	readonly onEnd: (end: AttemptEnd) => void;
};

type AttemptEnd =
	| {readonly kind: 'complete'}
	| {readonly kind: 'not sent'; readonly reason: string}
	| {readonly kind: 'broken'; readonly reason: string};

type AttemptRequest = {readonly method: string; readonly path: string; readonly headers: readonly string[]; readonly body: Uint8Array | undefined};

/**
Sends attempts one after the other.

Invariant: `onEnd` is called once an attempt; `not sent` only when no byte of it
was handed to the connection.

@example
```
const cancel = connection.send({method: 'GET', path: '/x', headers: [], body: undefined}, handlers);
```
*/
export class TargetConnection {
	lastUsedAt = 0;
	#isBusy = false;
	#hadError = false;
	#opened = 0;
	readonly #client: Client;

	constructor(address: string) {
		const connect = buildConnector({timeout: connectMilliseconds, keepAlive: true, keepAliveInitialDelay: 1000});
		this.#client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: idleMilliseconds,
			keepAliveTimeoutThreshold: idleMarginMilliseconds,
			keepAliveMaxTimeout: 30_000,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: (options, callback) => {
				connect(options, (error, socket) => {
					// A failed connection brings no socket, whatever the types say.
					if (error) {
						callback(error, null);
						return;
					}

					this.#watch(socket);
					callback(null, socket);
				});
			},
		});
		this.#client.on('disconnect', () => {
			this.#hadError = false;
		});
	}

	get isBusy(): boolean {
		return this.#isBusy;
	}

	/** Connections opened so far. */
	get opened(): number {
		return this.#opened;
	}

	/** Gives a function that breaks the attempt off for a reason and closes the connection. */
	send(request: AttemptRequest, handlers: AttemptHandlers): (reason: string) => void {
		this.#isBusy = true;
		let isStarted = false;
		let isEnded = false;
		let isRefused = false;
		let abort: (() => void) | undefined;
		const end = (result: AttemptEnd): void => {
			if (!isEnded) {
				isEnded = true;
				this.#isBusy = false;
				handlers.onEnd(result);
			}
		};

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart(controller) {
				abort = () => {
					controller.abort(new Error('broken off'));
				};

				if (isEnded || !handlers.mayStart()) {
					isRefused = true;
					abort();
					return;
				}

				isStarted = true;
			},
			onResponseStart(_controller, status, headers) {
				if (!isEnded && status >= 200) {
					handlers.onHead(status, headers);
				}
			},
			onResponseData(controller, chunk) {
				if (!isEnded) {
					handlers.onData(chunk, controller);
				}
			},
			onResponseEnd: () => {
				// An answer without a length ends with its connection; a reset is no such end.
				end(this.#hadError ? {kind: 'broken', reason: 'connection reset'} : {kind: 'complete'});
			},
			onResponseError(_controller, error) {
				end(isStarted && !isRefused ? {kind: 'broken', reason: error.message} : {kind: 'not sent', reason: isRefused ? 'no longer wanted' : error.message});
			},
		};
		this.#client.dispatch({
			method: request.method, path: request.path, headers: [...request.headers], body: request.body,
		}, handler);
		return reason => {
			if (isEnded) {
				return;
			}

			end({kind: isStarted ? 'broken' : 'not sent', reason});
			abort?.();
		};
	}

	/** Closes the connection; an attempt under way breaks. */
	destroy(): void {
		void this.#client.destroy();
	}

	#watch(socket: Socket): void {
		this.#opened++;
		this.#hadError = false;
		socket.on('error', () => {
			this.#hadError = true;
		});
		socket.on('end', () => {
			// A reset that is read together with the last bytes is reported as an ordinary end;
			// the peer's address, which only a connection still has, tells the two apart.
			this.#hadError ||= socket.remotePort === undefined;
		});
	}
}
