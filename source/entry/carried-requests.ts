/**
Remembers which requests a connection has carried since it was opened.
*/
import type {ConnectionHistory} from '../fleet/connection-history.js';

/** Requests that are remembered. A request that is sent again is sent again soon. */
const maxRemembered = 64;

/**
One instance a connection.

@example
```
carried.add('9c41'); // {isUsed: false, hasCarriedRequest: false}
carried.add('9c41'); // {isUsed: true, hasCarriedRequest: true}
```
*/
export class CarriedRequests {
	readonly #ids = new Set<string>();

	has(requestId: string): boolean {
		return this.#ids.has(requestId);
	}

	/** Adds a request, and returns what was carried before it. */
	add(requestId: string): ConnectionHistory {
		const history = {isUsed: this.#ids.size > 0, hasCarriedRequest: this.#ids.has(requestId)};
		this.#ids.add(requestId);
		if (this.#ids.size > maxRemembered) {
			const [oldest] = this.#ids;
			this.#ids.delete(oldest!);
		}

		return history;
	}

	/** The connection has been closed. */
	clear(): void {
		this.#ids.clear();
	}
}
