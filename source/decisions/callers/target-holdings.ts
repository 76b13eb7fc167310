/**
Bounds the bytes that one target makes the gateway hold: requests that it has not answered, or answers that are not whole.

The load that it addresses: a target that stops reading or answering keeps the bodies of all its
requests in the gateway's memory until their deadlines, and requests for other targets are refused
for lack of room.
*/

/**
One instance a process and direction. `limitBytes` is for each target.

Invariant: a target holds more than the limit only with a single request.

@example
```
holdings.tryReplace('i-1', 0, 4096); // true
holdings.tryReplace('i-1', 4096, 0); // true: not held any more
```
*/
export class TargetHoldings {
	readonly #byTarget = new Map<string, number>();
	readonly #limitBytes: number;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Most bytes that are held for one target. */
	get largest(): number {
		return Math.max(0, ...this.#byTarget.values());
	}

	/** Replaces what one request has counted by another number of bytes; false, and nothing changes, when the target would hold too much. */
	tryReplace(target: string, former: number, bytes: number): boolean {
		const others = (this.#byTarget.get(target) ?? 0) - former;
		const total = others + bytes;
		if (bytes > former && others > 0 && total > this.#limitBytes) {
			return false;
		}

		if (total === 0) {
			this.#byTarget.delete(target);
		} else {
			this.#byTarget.set(target, total);
		}

		return true;
	}
}
