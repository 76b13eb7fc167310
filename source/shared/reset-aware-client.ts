/**
Creates a client of one origin whose answers do not end as whole when a reset has ended them.

An answer without a length or chunks ends with its connection, and the HTTP client takes a reset
for such an end, too: as it takes an error of the socket after a head, and as Node.js reports a
reset that it reads together with the last bytes.
*/
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

type ClientOptions = Omit<Client.Options, 'connect'> & {
	readonly connectTimeoutMilliseconds: number;
	/** Called with each new connection, before anything reads it. */
	readonly onSocket?: (socket: Socket) => void;
};

/** What ended the current connection of a client. */
class ConnectionEnd {
	isReset = false;

	/** Watches a new connection. */
	watch(socket: Socket): void {
		this.isReset = false;
		socket.on('error', () => {
			this.isReset = true;
		});
		socket.on('end', () => {
			// Node reports a reset that is read together with the last bytes as an ordinary end.
			// The remote port tells the two apart: after a reset, the socket has none.
			this.isReset ||= socket.remotePort === undefined;
		});
	}
}

type Handler = Required<Dispatcher.DispatchHandler>;

/** Hands everything on to the handler of a request, but an end that a reset has brought as an error. */
class ResetAwareHandler implements Dispatcher.DispatchHandler {
	readonly #handler: Dispatcher.DispatchHandler;
	readonly #end: ConnectionEnd;

	constructor(handler: Dispatcher.DispatchHandler, end: ConnectionEnd) {
		this.#handler = handler;
		this.#end = end;
	}

	onRequestStart(...parameters: Parameters<Handler['onRequestStart']>): void {
		this.#handler.onRequestStart?.(...parameters);
	}

	onRequestUpgrade(...parameters: Parameters<Handler['onRequestUpgrade']>): void {
		this.#handler.onRequestUpgrade?.(...parameters);
	}

	onResponseStart(...parameters: Parameters<Handler['onResponseStart']>): void {
		this.#handler.onResponseStart?.(...parameters);
	}

	onResponseData(...parameters: Parameters<Handler['onResponseData']>): void {
		this.#handler.onResponseData?.(...parameters);
	}

	onResponseEnd(...[controller, trailers]: Parameters<Handler['onResponseEnd']>): void {
		if (this.#end.isReset) {
			this.#handler.onResponseError?.(controller, new Error('connection reset'));
		} else {
			this.#handler.onResponseEnd?.(controller, trailers);
		}
	}

	onResponseError(...parameters: Parameters<Handler['onResponseError']>): void {
		this.#handler.onResponseError?.(...parameters);
	}
}

/**
Returns a client that has one connection at a time and sends one request after another on it.

@example
```
const client = createResetAwareClient('http://10.1.0.1:80', {connectTimeoutMilliseconds: 600});
client.dispatch({method: 'GET', path: '/'}, handler);
```
*/
export const createResetAwareClient = (origin: string | URL, {connectTimeoutMilliseconds, onSocket, ...options}: ClientOptions): Dispatcher => {
	const end = new ConnectionEnd();
	const connect = buildConnector({timeout: connectTimeoutMilliseconds, keepAlive: true, keepAliveInitialDelay: 1000});
	const client = new Client(origin, {
		...options,
		pipelining: 1,
		connect(connectOptions, callback) {
			connect(connectOptions, (error, socket) => {
				// A failed connection has no socket, although the types promise one.
				if (error) {
					callback(error, null);
					return;
				}

				end.watch(socket);
				onSocket?.(socket);
				callback(null, socket);
			});
		},
	});
	client.on('disconnect', () => {
		end.isReset = false;
	});
	return client.compose(dispatch => (request, handler) => dispatch(request, new ResetAwareHandler(handler, end)));
};
