/**
The one answer that a caller gets on its connection.
*/
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {resultCodeDetails} from '../generated/result-codes.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';

type Flow = {readonly pause: () => void; readonly resume: () => void};

/** Bytes that wait for a slow caller before its target is made to wait. */
const mostWaitingBytes = 262_144;

/**
Writes an answer so that one which breaks off never looks complete.

Invariant: at most one head is written; after `end`, `refuse` or `breakOff` nothing more is.

@example
```
answer.start(facts);
answer.write(chunk, flow);
answer.end();
```
*/
export class CallerAnswer {
	#isDone = false;
	#closesAfter = false;
	#onGone: (() => void) | undefined;
	readonly #response: http.ServerResponse;
	readonly #mustClose: () => boolean;

	constructor(response: http.ServerResponse, mustClose: () => boolean) {
		this.#response = response;
		this.#mustClose = mustClose;
		const {socket} = response.req;
		const onEnd = (): void => {
			this.#leave();
		};

		// The end of what the caller sends is read some turns of the loop before its connection counts as closed.
		socket.once('end', onEnd);
		response.once('close', () => {
			socket.off('end', onEnd);
			if (!response.writableFinished) {
				this.#leave();
			}
		});
	}

	get isDone(): boolean {
		return this.#isDone;
	}

	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Calls back once when the caller goes away before its answer is whole. */
	onGone(callback: () => void): void {
		this.#onGone = callback;
	}

	/** Ends the connection with this answer, as what follows on it cannot be trusted. */
	closeAfter(): void {
		this.#closesAfter = true;
	}

	/** Writes the head of an answer whose length is not known. */
	start(facts: AnswerFacts): void {
		this.#head(facts.status, facts.headers);
		this.#response.flushHeaders();
	}

	write(chunk: Uint8Array, flow: Flow): void {
		if (this.#isDone) {
			return;
		}

		this.#response.write(chunk);
		if (this.#response.writableLength > mostWaitingBytes) {
			flow.pause();
			this.#response.once('drain', flow.resume);
		}
	}

	end(): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.#response.end();
		}
	}

	/** Passes a whole answer on. */
	whole(facts: AnswerFacts, body: Uint8Array): void {
		if (this.#isDone) {
			return;
		}

		this.#head(facts.status, {...facts.headers, ...facts.status === 204 || facts.status === 304 ? {} : {'content-length': String(body.byteLength)}});
		this.#isDone = true;
		this.#response.end(body);
	}

	/** Gives a final answer of the gateway's own. */
	refuse(code: number, headers: Readonly<Record<string, string>>, retryAfterSeconds?: number): void {
		if (this.#isDone) {
			return;
		}

		const detail = resultCodeDetails.get(code);
		const body = Buffer.from(JSON.stringify({error: {code, name: detail?.name, ran: detail?.outcome}}));
		this.#head(detail?.status ?? 500, {
			...headers,
			...retryAfterSeconds === undefined ? {} : {'retry-after': retryAfterSeconds.toFixed(3)},
			'content-type': 'application/json',
			'content-length': String(body.byteLength),
		});
		this.#isDone = true;
		this.#response.end(body);
	}

	/** Ends the connection so that the caller sees that the answer is not whole. */
	breakOff(): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		if (this.#response.req.httpVersion === '1.0') {
			// Without chunks the end of the connection would look like the end of the answer.
			this.#response.socket?.resetAndDestroy();
			return;
		}

		this.#response.destroy();
	}

	#leave(): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.#onGone?.();
			this.#response.destroy();
		}
	}

	#head(status: number, headers: Readonly<Record<string, string | readonly string[]>>): void {
		this.#response.writeHead(status, {
			...headers as Record<string, string | string[]>,
			...this.#closesAfter || this.#mustClose() ? {connection: 'close'} : {},
		});
	}
}
