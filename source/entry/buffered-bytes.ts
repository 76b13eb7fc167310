/**
Counts the bytes of answers that the gateway holds, so that all of them together stay within its memory, and those of one target within a part of it.
*/
import {TargetHoldings} from '../decisions/callers/target-holdings.js';

/** Part of the limit that the answers of one target may use. */
const targetShare = 0.5;

/**
One instance a process. `limit` is in bytes.

Invariant: `total` is at most `limit`.

@example
```
const buffered = new BufferedBytes(67_108_864);
buffered.tryReplace(0, 1024); // true: 1024 bytes are held
buffered.tryReplace(1024, 0); // true: they are not held any more
```
*/
export class BufferedBytes {
	#total = 0;
	readonly #limit: number;
	readonly #ofTargets: TargetHoldings;

	constructor(limit: number) {
		this.#limit = limit;
		this.#ofTargets = new TargetHoldings(limit * targetShare);
	}

	get total(): number {
		return this.#total;
	}

	/** Replaces what one holder has counted, for an answer of this target, by another number of bytes; false, and nothing changes, when that is over a limit. */
	tryReplace(former: number, bytes: number, target = ''): boolean {
		const total = this.#total - former + bytes;
		if (bytes > former && total > this.#limit) {
			return false;
		}

		if (target !== '' && !this.#ofTargets.tryReplace(target, former, bytes)) {
			return false;
		}

		this.#total = total;
		return true;
	}
}
