/**
Sends attempts to one target over one HTTP connection, one attempt at a time.
*/
import type {Dispatcher} from 'undici';
import {createResetAwareClient} from '../shared/reset-aware-client.js';
import type {AnswerPacer} from './answer-pacer.js';
import {AttemptExchange} from './attempt-exchange.js';
import type {AttemptHandlers} from './attempt-handlers.js';
import {CarriedRequests} from './carried-requests.js';
import {requestKey} from './request-key.js';
import {SocketReading} from './socket-reading.js';

/** Timeout for opening a connection, enough for a target that is reachable. */
const connectTimeoutMilliseconds = 600;
/** Idle time after which a connection is closed, unless the target names another in `Keep-Alive`. */
const idleTimeoutMilliseconds = 4000;
/** How long before the idle timeout that a target names its connection is closed. */
const idleTimeoutMarginMilliseconds = 1000;

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
	readonly #hooks: ConstructorParameters<typeof AttemptExchange>[2];
	readonly #client: Dispatcher;

	constructor(address: string, pacer: AnswerPacer) {
		this.#hooks = {
			pacer,
			begin: requestId => ({history: this.#carried.add(requestKey(requestId)), socketReading: this.#socketReading!}),
			free: () => {
				this.#isBusy = false;
			},
		};
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
	hasCarried(key: ReturnType<typeof requestKey>): boolean {
		return this.#carried.has(key);
	}

	/** Sends an attempt. Returns a function that aborts it with a reason and closes the connection. */
	send({requestId, method, path, headers, body}: AttemptRequest, handlers: AttemptHandlers): (reason: string) => void {
		this.#isBusy = true;
		const exchange = new AttemptExchange(requestId, handlers, this.#hooks);
		this.#client.dispatch({
			method, path, headers: [...headers], body,
		}, exchange);
		return reason => {
			exchange.breakOff(reason);
		};
	}

	/** Closes the connection; an attempt in progress is aborted. */
	destroy(): void {
		void this.#client.destroy();
	}
}
