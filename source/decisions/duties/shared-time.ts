/**
Estimates true time from a gateway's monotonic clock and the wall clocks of all gateways.

It addresses wall clocks that differ by some 100 ms, and jump by seconds and back. The estimate is
the mean of all clocks that are near their median: a clock that has jumped, or a minority of them,
counts no more, and the differences of the others even out. A jump of more of them moves the
estimate only slowly.
*/
import {median} from '../../shared/median.js';

type Sample = {readonly at: number; readonly offset: number};

/** At most one sample per clock and second is kept, so that messages that waited together count once. */
const sampleMilliseconds = 1000;
const maxSamples = 15;
/** Clocks that make a majority: with three, one that is wrong does not matter. */
const minClocks = 3;
/** Clocks that differ by more from the median are taken to have jumped. */
const maxDifferenceMilliseconds = 250;
/** Time after the start within which the clocks of peers are waited for. */
const peerWaitMilliseconds = 3000;
/** Interval of the estimate, as it looks at the clocks of all gateways. */
const updateMilliseconds = 1000;
/** Largest change of the estimate per millisecond; far above the drift of a monotonic clock. */
const slewShare = 0.01;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const meanNearMedian = (values: readonly number[]): number => {
	const middle = median(values);
	const near = values.filter(value => Math.abs(value - middle) <= maxDifferenceMilliseconds);
	return near.length === 0 ? middle : mean(near);
};

/** Adds a sample. Of samples within a second the largest is kept: it comes from the message with the least delay. */
const addSample = (samples: Sample[], sample: Sample): void => {
	const last = samples.at(-1);
	if (last === undefined || sample.at - last.at >= sampleMilliseconds) {
		samples.push(sample);
		samples.splice(0, samples.length - maxSamples);
	} else {
		samples[samples.length - 1] = {at: last.at, offset: Math.max(last.offset, sample.offset)};
	}
};

/**
One instance a process. An offset is what is to be added to the monotonic clock.

@example
```
time.recordOwn(Date.now(), clock());
time.recordPeer('gateway-2', digest.wallTime, clock());
time.update(clock());
time.offset; // undefined until there are enough clocks
```
*/
export class SharedTime {
	#offset: number | undefined;
	#clockCount = 0;
	#updatedAt: number;
	readonly #startedAt: number;
	readonly #own: Sample[] = [];
	readonly #peers = new Map<string, Sample[]>();

	constructor(startedAt: number) {
		this.#startedAt = startedAt;
		this.#updatedAt = startedAt;
	}

	get offset(): number | undefined {
		return this.#offset;
	}

	recordOwn(wallTime: number, now: number): void {
		// A jump back within a second must not hide behind the largest sample, so the own clock gives one per second.
		const last = this.#own.at(-1);
		if (last === undefined || now - last.at >= sampleMilliseconds) {
			addSample(this.#own, {at: now, offset: wallTime - now});
		}
	}

	recordPeer(peer: string, wallTime: number, now: number): void {
		const samples = this.#peers.get(peer) ?? [];
		this.#peers.set(peer, samples);
		addSample(samples, {at: now, offset: wallTime - now});
	}

	removePeer(peer: string): void {
		this.#peers.delete(peer);
	}

	/** Brings the estimate up to date; to be called several times a second. */
	update(now: number): void {
		const elapsed = now - this.#updatedAt;
		if (this.#offset !== undefined && elapsed < updateMilliseconds) {
			return;
		}

		this.#updatedAt = now;
		const offsets = this.#offsets();
		if (offsets.length === 0 || (offsets.length < minClocks && now - this.#startedAt < peerWaitMilliseconds)) {
			return;
		}

		const estimate = meanNearMedian(offsets);
		const hasNewMajority = this.#clockCount < minClocks && offsets.length >= minClocks;
		if (this.#offset === undefined || hasNewMajority) {
			this.#offset = estimate;
		} else {
			const most = Math.max(0, elapsed) * slewShare;
			this.#offset += Math.min(most, Math.max(-most, estimate - this.#offset));
		}

		this.#clockCount = Math.max(this.#clockCount, offsets.length);
	}

	/** One offset per clock: the median of its samples, so that a jump of a few seconds does not show. */
	#offsets(): readonly number[] {
		return [this.#own, ...this.#peers.values()]
			.filter(samples => samples.length > 0)
			.map(samples => median(samples.map(({offset}) => offset)));
	}
}
