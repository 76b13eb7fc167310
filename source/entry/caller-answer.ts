/**
Writes the answer to one request to the connection of its caller.
*/
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {resultCodeDetails} from '../generated/result-codes.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';

/** Fewer bytes that wait for a caller are not counted. */
const countedBytes = 16_384;

type Flow = {readonly pause: () => void; readonly resume: () => void};

/** Bytes buffered for a slow caller from which on reading from its target is paused. */
const maxBufferedBytes = 262_144;
/** Pieces buffered for a slow caller from which on the same happens. Each costs memory beyond its bytes. */
const maxBufferedPieces = 256;

/**
One instance a request. An incomplete answer never looks complete to the caller.

Invariant: at most one head is written; after `end`, `send`, `sendError` or `abort` nothing more is.

@example
```
answer.start(facts);
answer.write(chunk, flow);
answer.end();
```
*/
export class CallerAnswer {
	#isDone = false;
	/** Paused until the caller has caught up. A stream that is continued has a flow for each of its attempts. */
	#pausedFlow: Flow | undefined;
	/** Pieces written since the connection could last take more. */
	#bufferedPieces = 0;
	#closesAfterAnswer = false;
	#onDisconnect: (() => void) | undefined;
	readonly #response: http.ServerResponse;
	readonly #mustClose: () => boolean;
	readonly #onUnread: (bytes: number) => void;
	#unreadBytes = 0;

	/** `onUnread` is called with the bytes that wait for the caller, whenever they become many or few. */
	constructor(response: http.ServerResponse, mustClose: () => boolean, onUnread: (bytes: number) => void = () => undefined) {
		this.#response = response;
		this.#mustClose = mustClose;
		this.#onUnread = onUnread;
		const {socket} = response.req;
		const onEnd = (): void => {
			this.#handleDisconnect();
		};

		// When the caller closes its side, the socket emits `end` some turns of the event loop before the response emits `close`.
		socket.once('end', onEnd);
		response.once('close', () => {
			socket.off('end', onEnd);
			if (!response.writableFinished) {
				this.#handleDisconnect();
			}
		});
	}

	/** True once nothing more can be written: the answer has ended, was aborted, or its caller disconnected. */
	get isDone(): boolean {
		return this.#isDone;
	}

	/** True once the head has been written. */
	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Sets a callback that runs once if the caller disconnects before its answer is complete. */
	onDisconnect(callback: () => void): void {
		this.#onDisconnect = callback;
	}

	/** Closes the connection after this answer, because what follows on it cannot be trusted to be a request. */
	closeAfterAnswer(): void {
		this.#closesAfterAnswer = true;
	}

	/** Writes the head of an answer whose length is unknown. */
	start(facts: AnswerFacts): void {
		this.#writeHead(facts.status, facts.headers);
		this.#response.flushHeaders();
	}

	/** Writes a chunk of the answer; pauses `flow` while too much is buffered. */
	write(chunk: Uint8Array, flow: Flow): void {
		if (this.#isDone) {
			return;
		}

		this.#bufferedPieces = this.#response.write(chunk) ? 0 : this.#bufferedPieces + 1;
		this.#recordUnread();
		const isTooMuch = this.#response.writableLength > maxBufferedBytes || this.#bufferedPieces > maxBufferedPieces;
		if (isTooMuch && this.#pausedFlow !== flow) {
			this.#pauseUntilDrained(flow);
		}
	}

	end(): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.#response.end();
		}
	}

	/** Sends a complete answer of a target. */
	send(facts: AnswerFacts, body: Uint8Array): void {
		if (this.#isDone) {
			return;
		}

		this.#writeHead(facts.status, {...facts.headers, ...facts.status === 204 || facts.status === 304 ? {} : {'content-length': String(body.byteLength)}});
		this.#isDone = true;
		this.#response.end(body);
		this.#recordUnread();
	}

	/** Sends an error of the gateway itself, with its result code. */
	sendError(code: number, headers: Readonly<Record<string, string>>, retryAfterSeconds?: number): void {
		if (this.#isDone) {
			return;
		}

		const detail = resultCodeDetails.get(code);
		const body = Buffer.from(JSON.stringify({error: {code, name: detail?.name, ran: detail?.outcome}}));
		this.#writeHead(detail?.status ?? 500, {
			...headers,
			...retryAfterSeconds === undefined ? {} : {'retry-after': retryAfterSeconds.toFixed(3)},
			'content-type': 'application/json',
			'content-length': String(body.byteLength),
		});
		this.#isDone = true;
		this.#response.end(body);
	}

	/** Closes the connection in a way that shows the caller that the answer is incomplete. */
	abort(): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		if (this.#response.req.httpVersion === '1.0') {
			// HTTP/1.0 has no chunked encoding, so closing the connection normally would look like the end of the answer.
			this.#response.socket?.resetAndDestroy();
			return;
		}

		this.#response.destroy();
	}

	#pauseUntilDrained(flow: Flow): void {
		this.#pausedFlow = flow;
		flow.pause();
		this.#response.once('drain', () => {
			this.#pausedFlow = undefined;
			this.#bufferedPieces = 0;
			flow.resume();
		});
	}

	/** Counts what waits for the caller: each piece that is added while much waits, and once that it is little again. */
	#recordUnread(): void {
		const bytes = this.#response.writableLength;
		if (bytes < countedBytes && this.#unreadBytes < countedBytes) {
			return;
		}

		if (this.#unreadBytes < countedBytes) {
			this.#response.once('drain', () => {
				this.#unreadBytes = 0;
				this.#onUnread(0);
			});
		}

		this.#unreadBytes = bytes;
		this.#onUnread(bytes);
	}

	#handleDisconnect(): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.#onDisconnect?.();
			this.#response.destroy();
		}
	}

	#writeHead(status: number, headers: Readonly<Record<string, string | readonly string[]>>): void {
		this.#response.writeHead(status, {
			...headers as Record<string, string | string[]>,
			...this.#closesAfterAnswer || this.#mustClose() ? {connection: 'close'} : {},
		});
	}
}
