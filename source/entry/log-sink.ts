/**
Writes log lines to standard output without blocking on a slow reader.

Lines are buffered in memory while the output is slow. Lines beyond the buffer size or
the rate limit are dropped and counted. The count is written before the next line that
is accepted.
*/
import fs from 'node:fs';

const maxBufferedBytes = 524_288;
const linesPerSecond = 600;
const maxBurstLines = 1200;
const standardOutput = 1;

type Write = (text: string, callback: (error: Error | null) => void) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

const writeToStandardOutput: Write = (text, callback) => {
	fs.write(standardOutput, text, callback);
};

/**
A bounded buffer in front of the output, with a token bucket that limits the rate of lines.

@example
```
const sink = new LogSink(clock);
ROARR.write = line => sink.write(line);
```
*/
export class LogSink {
	#lines: string[] = [];
	#bufferedBytes = 0;
	#isWriting = false;
	#dropped = 0;
	#tokens = maxBurstLines;
	#refilledAt: number;
	readonly #now: () => number;
	readonly #output: Write;

	constructor(now: () => number, output: Write = writeToStandardOutput) {
		this.#now = now;
		this.#output = output;
		this.#refilledAt = now();
	}

	/** Lines dropped since the last count was written. */
	get dropped(): number {
		return this.#dropped;
	}

	write(line: string): void {
		const now = this.#now();
		this.#tokens = Math.min(maxBurstLines, this.#tokens + ((now - this.#refilledAt) / 1000 * linesPerSecond));
		this.#refilledAt = now;
		if (this.#tokens < 1 || this.#bufferedBytes + line.length > maxBufferedBytes) {
			this.#dropped++;
			return;
		}

		this.#tokens--;
		if (this.#dropped > 0) {
			this.#push(JSON.stringify({message: 'log lines dropped', context: {event: 'log lines dropped', count: this.#dropped}, time: Date.now()}));
			this.#dropped = 0;
		}

		this.#push(line);
		this.#flush();
	}

	#push(line: string): void {
		this.#lines.push(`${line}\n`);
		this.#bufferedBytes += line.length + 1;
	}

	#flush(): void {
		if (this.#isWriting || this.#lines.length === 0) {
			return;
		}

		const text = this.#lines.join('');
		this.#lines = [];
		this.#bufferedBytes = 0;
		this.#isWriting = true;
		this.#output(text, error => {
			this.#isWriting = false;
			if (error !== null) {
				// The output itself failed, so the error cannot be logged now. It counts as one dropped line, which is reported later.
				this.#dropped++;
				return;
			}

			this.#flush();
		});
	}
}
