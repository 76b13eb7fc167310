/**
Asks for permits for the rate-limited targets that this gateway has requests for, and uses them.
*/
import {PermitStock} from '../decisions/limits/permit-stock.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {Timers} from '../shared/timers.js';
import type {EntryMetrics} from './entry-metrics.js';

type Permits = Extract<PeerMessage, {kind: 'permits'}>;

type Options = {
	/** The limit of a target, in requests a second; undefined when it has none. */
	readonly limitOf: (incarnation: string) => number | undefined;
	/** Asks the owner of the target's permits for so many. */
	readonly ask: (ask: {readonly target: string; readonly wanted: number; readonly askedAt: number}) => void;
	/** How long an ask counts at the owner, in milliseconds. */
	readonly askLifetime: () => number;
	/** Called when a target can take a request again for which it had no permit. */
	readonly onPermits: () => void;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly now: () => number;
	readonly timers: Pick<Timers, 'after'>;
};

/** How long a request waits for an answer of an owner before it is refused: a round trip between zones. */
const permitTimeoutMilliseconds = 25;

/**
One instance a process. All targets are named by incarnation.

@example
```
requester.want('engine-3 17');
requester.tryTake('engine-3 17');
```
*/
export class PermitRequester {
	readonly #options: Options;
	readonly #stocks = new Map<string, PermitStock>();
	/** Called once when permits arrive. */
	readonly #waiting = new Set<() => void>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Permits that this gateway has now. */
	count(incarnation: string): number {
		return this.#stocks.get(incarnation)?.count(this.#options.now()) ?? 0;
	}

	/** Permits a second that this gateway has got lately. */
	receivedPerSecond(incarnation: string): number {
		return this.#stocks.get(incarnation)?.receivedPerSecond(this.#options.now()) ?? 0;
	}

	/** Asks for a permit for one more request. */
	want(incarnation: string): void {
		this.#stockOf(incarnation).want(1, this.#options.limitOf(incarnation) ?? 0);
		this.#ask(incarnation);
	}

	/** Asks again for requests that wait. */
	wantForWaiting(incarnation: string): void {
		this.#stockOf(incarnation).wantAtLeastOne();
		this.#ask(incarnation);
	}

	/** Uses a permit; false when there is none. */
	tryTake(incarnation: string): boolean {
		const {metrics, now} = this.#options;
		const isTaken = this.#stocks.get(incarnation)?.tryTake(now()) ?? false;
		metrics.count(isTaken ? 'permit.used' : 'permit.missing');
		return isTaken;
	}

	/** Calls back once, when permits have arrived that were asked for, or soon after when none have; returns a function that ends the wait. */
	waitForPermits(act: () => void): () => void {
		let cancelTimeout = (): void => undefined;
		const end = (): void => {
			cancelTimeout();
			this.#waiting.delete(proceed);
		};

		const proceed = (): void => {
			end();
			act();
		};

		cancelTimeout = this.#options.timers.after(permitTimeoutMilliseconds, proceed);
		this.#waiting.add(proceed);
		return end;
	}

	receive({target, count, askedAt}: Permits): void {
		const {limitOf, metrics, now} = this.#options;
		if (limitOf(target) !== undefined) {
			metrics.count('permit.received', count);
			this.#stockOf(target).receive(count, askedAt, now());
			this.#resume();
		}
	}

	/** The limit of a target has ended: its permits are needed no more. */
	discard(incarnation: string): void {
		this.#stocks.delete(incarnation);
		this.#resume();
	}

	/** Forgets all other targets. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		for (const incarnation of this.#stocks.keys()) {
			if (!incarnations.has(incarnation)) {
				this.#stocks.delete(incarnation);
			}
		}
	}

	#stockOf(incarnation: string): PermitStock {
		const stock = this.#stocks.get(incarnation) ?? new PermitStock();
		this.#stocks.set(incarnation, stock);
		return stock;
	}

	/** Asks for what is missing, unless an earlier ask still counts. */
	#ask(incarnation: string): void {
		const {ask, askLifetime, now} = this.#options;
		const askedAt = Math.floor(now());
		const wanted = this.#stockOf(incarnation).takeAsk(askLifetime(), askedAt);
		if (wanted > 0) {
			ask({target: incarnation, wanted, askedAt});
		}
	}

	/** Lets requests that wait for permits try again. */
	#resume(): void {
		for (const proceed of this.#waiting) {
			proceed();
		}

		this.#options.onPermits();
	}
}
