/**
Holds the reading of one answer back for several reasons at once.

The caller may not keep up with its answer, and the gateway may have no time to read it. The
answer is read while neither of them holds it back.
*/

type Holder = 'caller' | 'gateway';

type Reading = {readonly pause: () => void; readonly resume: () => void};

/**
One instance an attempt.

@example
```
const gate = new ReadingGate(socketReading);
gate.hold('caller');
gate.release('caller');
```
*/
export class ReadingGate {
	readonly #reading: Reading;
	readonly #holders = new Set<Holder>();
	#isClosed = false;

	constructor(reading: Reading) {
		this.#reading = reading;
	}

	hold(holder: Holder): void {
		if (this.#isClosed) {
			return;
		}

		this.#holders.add(holder);
		this.#reading.pause();
	}

	/** Goes on reading, unless another holder holds it back. */
	release(holder: Holder): void {
		if (!this.#holders.delete(holder) || this.#holders.size > 0 || this.#isClosed) {
			return;
		}

		this.#reading.resume();
	}

	/** The answer has ended: its connection is read on, and may carry another one, which this gate does not concern. */
	close(): void {
		this.#isClosed = true;
		if (this.#holders.size > 0) {
			this.#reading.resume();
		}
	}
}
