/**
Writes log lines to standard output without ever waiting for a reader.

Lines wait in memory while the output is slow. Beyond a bound, and beyond a rate,
they are dropped and counted; the count is written once there is room again.
*/
import fs from 'node:fs';

const mostWaitingBytes = 524_288;
const linesPerSecond = 600;
const mostLinesAtOnce = 1200;
const standardOutput = 1;

type Write = (text: string, callback: (error: Error | null) => void) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

const writeToStandardOutput: Write = (text, callback) => {
	fs.write(standardOutput, text, callback);
};

/**
A bounded queue before the output.

@example
```
const sink = new LogSink(clock);
ROARR.write = line => sink.write(line);
```
*/
export class LogSink {
	#lines: string[] = [];
	#bytes = 0;
	#isWriting = false;
	#dropped = 0;
	#allowance = mostLinesAtOnce;
	#allowedAt: number;
	readonly #now: () => number;
	readonly #output: Write;

	constructor(now: () => number, output: Write = writeToStandardOutput) {
		this.#now = now;
		this.#output = output;
		this.#allowedAt = now();
	}

	/** Lines dropped so far and not yet told. */
	get dropped(): number {
		return this.#dropped;
	}

	write(line: string): void {
		const now = this.#now();
		this.#allowance = Math.min(mostLinesAtOnce, this.#allowance + ((now - this.#allowedAt) / 1000 * linesPerSecond));
		this.#allowedAt = now;
		if (this.#allowance < 1 || this.#bytes + line.length > mostWaitingBytes) {
			this.#dropped++;
			return;
		}

		this.#allowance--;
		if (this.#dropped > 0) {
			this.#push(JSON.stringify({message: 'log lines dropped', context: {event: 'log lines dropped', count: this.#dropped}, time: Date.now()}));
			this.#dropped = 0;
		}

		this.#push(line);
		this.#flush();
	}

	#push(line: string): void {
		this.#lines.push(`${line}\n`);
		this.#bytes += line.length + 1;
	}

	#flush(): void {
		if (this.#isWriting || this.#lines.length === 0) {
			return;
		}

		const text = this.#lines.join('');
		this.#lines = [];
		this.#bytes = 0;
		this.#isWriting = true;
		this.#output(text, error => {
			this.#isWriting = false;
			if (error !== null) {
				// The output itself failed, so there is nowhere to say so; the count of dropped lines tells it later.
				this.#dropped++;
				return;
			}

			this.#flush();
		});
	}
}
