/**
Counters and gauges of one process, kept in memory.
*/

/**
Keeps the values by name.

@example
```
const counters = new Counters();
counters.count('refused.queue-full');
counters.counts.get('refused.queue-full'); // 1
```
*/
export class Counters {
	readonly counts = new Map<string, number>();

	/** Adds `amount` to the counter `name`. */
	count(name: string, amount = 1): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + amount);
	}

	/** Records the current value of `name`. */
	gauge(name: string, value: number): void {
		this.counts.set(name, value);
	}
}
