/**
Time that passes only as events are run, so that a case plays the same each time.
*/
import {setImmediate} from 'node:timers/promises';
import type {Timers} from '../../source/shared/timers.js';

type Event = {readonly at: number; readonly number: number; readonly act: () => void; isCancelled: boolean};

const isBefore = (first: Event, second: Event): boolean => first.at < second.at || (first.at === second.at && first.number < second.number);

/**
A binary heap of events; equal times run in the order in which they were added.

@example
```
const time = new VirtualTime();
time.after(100, () => store.put(target));
await time.run(40_000);
```
*/
export class VirtualTime implements Timers {
	now = 0;
	#number = 0;
	readonly #heap: Event[] = [];

	readonly after = (milliseconds: number, act: () => void): () => void => {
		this.#number++;
		const event: Event = {
			at: this.now + Math.max(0, milliseconds), number: this.#number, act, isCancelled: false,
		};
		this.#push(event);
		return () => {
			event.isCancelled = true;
		};
	};

	readonly every = (milliseconds: number, act: () => void): () => void => {
		let cancel = (): void => undefined;
		const again = (): void => {
			cancel = this.after(milliseconds, () => {
				again();
				act();
			});
		};

		again();
		return () => {
			cancel();
		};
	};

	/** Runs all events up to a time; what one event settles goes on before the next. */
	async run(until: number): Promise<void> {
		while ((this.#heap[0]?.at ?? Number.POSITIVE_INFINITY) <= until) {
			const event = this.#pop();
			if (!event.isCancelled) {
				this.now = event.at;
				event.act();
				await setImmediate(); // eslint-disable-line no-await-in-loop
			}
		}

		this.now = until;
	}

	#push(event: Event): void {
		this.#heap.push(event);
		let index = this.#heap.length - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(event, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = event;
	}

	#pop(): Event {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#sink(last);
		}

		return first;
	}

	#sink(event: Event): void {
		let index = 0;
		for (;;) {
			const left = (index * 2) + 1;
			const right = left + 1;
			if (left >= this.#heap.length) {
				break;
			}

			const least = right < this.#heap.length && isBefore(this.#heap[right]!, this.#heap[left]!) ? right : left;
			if (!isBefore(this.#heap[least]!, event)) {
				break;
			}

			this.#heap[index] = this.#heap[least]!;
			index = least;
		}

		this.#heap[index] = event;
	}
}
