/**
Remembers which requests a connection has carried since it was opened.
*/
import type {ConnectionHistory} from '../fleet/connection-history.js';
import type {requestKey} from './request-key.js';

type RequestKey = ReturnType<typeof requestKey>;

/** Requests that are remembered. A request that is sent again is sent again soon. */
const maxRemembered = 64;

/**
One instance a connection. What it remembers takes the same memory whatever the length of the ids.

@example
```
carried.add(requestKey('9c41')); // {isUsed: false, hasCarriedRequest: false}
carried.add(requestKey('9c41')); // {isUsed: true, hasCarriedRequest: true}
```
*/
export class CarriedRequests {
	readonly #keys = new Set<RequestKey>();

	has(key: RequestKey): boolean {
		return this.#keys.has(key);
	}

	/** Adds a request, and returns what was carried before it. */
	add(key: RequestKey): ConnectionHistory {
		const history = {isUsed: this.#keys.size > 0, hasCarriedRequest: this.#keys.has(key)};
		this.#keys.add(key);
		if (this.#keys.size > maxRemembered) {
			const [oldest] = this.#keys;
			this.#keys.delete(oldest!);
		}

		return history;
	}

	/** The connection has been closed. */
	clear(): void {
		this.#keys.clear();
	}
}
