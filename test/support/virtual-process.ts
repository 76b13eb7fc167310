/**
Whether a process runs, in virtual time: it may stand still for a while, and end.
*/
import type {VirtualTime} from './virtual-time.js';

/**
Invariant: nothing is run after `kill`, nor before `frozenUntil`.

@example
```
process.after(200, () => look());
process.frozenUntil = time.now + 500;
```
*/
export class VirtualProcess {
	frozenUntil = 0;
	#isAlive = true;
	readonly #time: VirtualTime;

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	kill(): void {
		this.#isAlive = false;
	}

	/** Runs what is due now, once the process runs. */
	readonly run = (act: () => void): void => {
		if (!this.#isAlive) {
			return;
		}

		if (this.frozenUntil > this.#time.now) {
			this.after(this.frozenUntil - this.#time.now, act);
		} else {
			act();
		}
	};

	/** Runs what is due after so long; gives a function that cancels it. */
	readonly after = (milliseconds: number, act: () => void): () => void => this.#time.after(milliseconds, () => {
		this.run(act);
	});
}
