/**
Counts, over all gateways, the arrivals of a service beyond the first of each
request, as the users' rule does.
*/

type Bounds = {readonly share: number; readonly windowMilliseconds: number; readonly extra: number};

type Arrival = {
	readonly service: string;
	readonly requestId: string;
	/** Reads a prompt for a later run. */
	readonly isReading: boolean;
	/** The target took it. */
	readonly isAccepted: boolean;
};

type Violation = {
	readonly service: string;
	/** The window of the rule begins here. */
	readonly from: number;
	readonly beyondFirst: number;
	readonly allowed: number;
};

/** Windows that are tried for each arrival beyond the first, between the one that ends with it and the one that begins with it. */
const windowsEach = 8;

const countWithin = (times: readonly number[], from: number, until: number): number => {
	const before = (limit: number): number => {
		let low = 0;
		let high = times.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (times[middle]! < limit) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	return before(until) - before(from);
};

/**
The first reading that a target takes is free; every other arrival of a request
counts but the first. Times are in milliseconds.

@example
```
judge.request('floor', 1000);
judge.arrive({service: 'floor', requestId: 'r1', isReading: false, isAccepted: true}, 1003);
judge.violations();
```
*/
export class RetryJudge {
	readonly #bounds: Bounds;
	readonly #requests = new Map<string, number[]>();
	readonly #beyondFirst = new Map<string, number[]>();
	readonly #counted = new Map<string, number>();
	readonly #read = new Set<string>();
	/** What would have arrived if one book for the whole fleet had allowed all that the rule does. */
	readonly #arrivedOrAllowed = new Map<string, number[]>();
	#overdrawn = 0;
	#denied = 0;
	#deniedInBounds = 0;

	constructor(bounds: Bounds) {
		this.#bounds = bounds;
	}

	/** Retries that gateways denied, and of these the ones that one book for the whole fleet would have allowed. */
	get denials(): {readonly all: number; readonly inBounds: number} {
		return {all: this.#denied, inBounds: this.#deniedInBounds};
	}

	/** Arrivals beyond the first, of all services. */
	get retries(): number {
		return [...this.#beyondFirst.values()].reduce((sum, times) => sum + times.length, 0);
	}

	/** Retries that were sent although their gateway's window had no room at that moment. */
	get overdrawn(): number {
		return this.#overdrawn;
	}

	sentWithoutRoom(): void {
		this.#overdrawn++;
	}

	/** Records that a caller sent a request. */
	request(service: string, at: number): void {
		this.#add(this.#requests, service, at);
	}

	arrive({service, requestId, isReading, isAccepted}: Arrival, at: number): void {
		if (isReading && isAccepted && !this.#read.has(requestId)) {
			this.#read.add(requestId);
			return;
		}

		const counted = (this.#counted.get(requestId) ?? 0) + 1;
		this.#counted.set(requestId, counted);
		if (counted > 1) {
			this.#add(this.#beyondFirst, service, at);
			this.#add(this.#arrivedOrAllowed, service, at);
		}
	}

	/** Records that a gateway denied a retry. */
	denied(service: string, at: number): void {
		const from = at - this.#bounds.windowMilliseconds;
		this.#denied++;
		if (countWithin(this.#arrivedOrAllowed.get(service) ?? [], from, at + 1) + 1 <= this.#allowed(service, from)) {
			this.#deniedInBounds++;
			this.#add(this.#arrivedOrAllowed, service, at);
		}
	}

	/** The worst window of each service that broke the rule. */
	violations(): readonly Violation[] {
		return [...this.#beyondFirst.keys()].flatMap(service => {
			const broken = this.#windows(service).filter(({beyondFirst, allowed}) => beyondFirst > allowed);
			return broken.length === 0 ? [] : [broken.reduce((worst, window) => window.beyondFirst - window.allowed > worst.beyondFirst - worst.allowed ? window : worst)];
		});
	}

	#windows(service: string): readonly Violation[] {
		const {windowMilliseconds} = this.#bounds;
		const times = this.#beyondFirst.get(service) ?? [];
		return times.flatMap(time => Array.from({length: windowsEach + 1}, (_, index) => {
			const from = time - (windowMilliseconds * index / windowsEach) + (index === 0 ? 0 : 1);
			return {
				service, from: Math.round(from), beyondFirst: this.#beyondFirstWithin(service, from, from + windowMilliseconds), allowed: this.#allowed(service, from),
			};
		}));
	}

	#beyondFirstWithin(service: string, from: number, until: number): number {
		return countWithin(this.#beyondFirst.get(service) ?? [], from, until);
	}

	/** The requests of the window, the one before it or the one half a window before it, whichever has most. */
	#allowed(service: string, from: number): number {
		const {share, windowMilliseconds, extra} = this.#bounds;
		const requests = this.#requests.get(service) ?? [];
		const counts = [0, 0.5, 1].map(windows => {
			const start = from - (windows * windowMilliseconds);
			return countWithin(requests, start, start + windowMilliseconds);
		});
		return (share * Math.max(...counts)) + extra;
	}

	/** Arrivals that were held up come out of order. */
	#add(lists: Map<string, number[]>, service: string, at: number): void {
		const times = lists.get(service) ?? [];
		lists.set(service, times);
		const later = times.findLastIndex(time => time <= at) + 1;
		times.splice(later, 0, at);
	}
}
