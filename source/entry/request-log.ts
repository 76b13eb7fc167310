/**
Buffers the log lines of one request until its outcome decides whether they are written.

The lines of requests that failed, were refused, were late, or whose caller disconnected
are always written. Successful requests are written up to a rate, and beyond it they are
only counted, so that a traffic peak does not cause a peak of log lines.
*/
import type {Logger} from 'roarr';

type Line = {readonly at: number; readonly message: string; readonly context: Readonly<Record<string, string | number | boolean | undefined>>};

type Sampling = {
	/** True when the lines of one more successful request may be written. */
	readonly mayWrite: (now: number) => boolean;
	readonly onOmitted: () => void;
};

/**
Keeps the lines in order, each with the milliseconds since the request began.

@example
```
const lines = new RequestLog(log, requestId, now(), 'lots');
lines.add('placed', {target, cost}, now());
lines.end(mustWrite, sampling, now());
```
*/
export class RequestLog {
	readonly #lines: Line[] = [];
	readonly #log: Logger;
	readonly #requestId: string;
	readonly #startedAt: number;
	readonly #team: {readonly team?: string};
	#isEnded = false;
	#isWritten = false;

	/** `team` is named in each line, unless it is undefined. */
	constructor(log: Logger, requestId: string, startedAt: number, team?: string) {
		this.#log = log;
		this.#requestId = requestId;
		this.#startedAt = startedAt;
		this.#team = team === undefined ? {} : {team};
	}

	add(message: string, context: Line['context'], now: number): void {
		const line = {at: Math.round(now - this.#startedAt), message, context};
		if (!this.#isEnded) {
			this.#lines.push(line);
		} else if (this.#isWritten) {
			this.#write(line);
		}
	}

	/** Decides whether the lines are written; called once, when the request ends. `mustWrite` writes them without regard to the sampling. */
	end(mustWrite: boolean, {mayWrite, onOmitted}: Sampling, now: number): void {
		this.#isEnded = true;
		this.#isWritten = mustWrite || mayWrite(now);
		if (!this.#isWritten) {
			onOmitted();
			return;
		}

		for (const line of this.#lines) {
			this.#write(line);
		}
	}

	#write({at, message, context}: Line): void {
		this.#log.info({
			event: message, request: this.#requestId, ...this.#team, at, ...context,
		}, message);
	}
}
