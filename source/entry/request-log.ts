/**
Log lines of one request, kept until its end decides whether they are written.

Requests that failed, were refused, left, or were late are always written whole.
Of the others, those within a rate are; the rest only count, so that a peak does
not turn into a peak of log lines.
*/
import type {Logger} from 'roarr';

type Line = {readonly at: number; readonly message: string; readonly context: Readonly<Record<string, string | number | boolean | undefined>>};

type Sampling = {
	/** True when one more request that went well may be written. */
	readonly mayWrite: (now: number) => boolean;
	readonly onLeftOut: () => void;
};

/**
Lines in order, each with the milliseconds since the request began.

@example
```
const lines = new RequestLog(log, requestId, now());
lines.add('placed', {target, cost}, now());
lines.end(isWorthWriting, sampling, now());
```
*/
export class RequestLog {
	readonly #lines: Line[] = [];
	readonly #log: Logger;
	readonly #requestId: string;
	readonly #startedAt: number;
	#isEnded = false;
	#isWritten = false;

	constructor(log: Logger, requestId: string, startedAt: number) {
		this.#log = log;
		this.#requestId = requestId;
		this.#startedAt = startedAt;
	}

	add(message: string, context: Line['context'], now: number): void {
		const line = {at: Math.round(now - this.#startedAt), message, context};
		if (!this.#isEnded) {
			this.#lines.push(line);
		} else if (this.#isWritten) {
			this.#write(line);
		}
	}

	/** Decides whether the lines are written; called once. */
	end(isWorthWriting: boolean, {mayWrite, onLeftOut}: Sampling, now: number): void {
		this.#isEnded = true;
		this.#isWritten = isWorthWriting || mayWrite(now);
		if (!this.#isWritten) {
			onLeftOut();
			return;
		}

		for (const line of this.#lines) {
			this.#write(line);
		}
	}

	#write({at, message, context}: Line): void {
		this.#log.info({
			event: message, request: this.#requestId, at, ...context,
		}, message);
	}
}
