/**
Decides which prompts are neglected for their kind or size.

Two kinds of prompts share the engines, and their bursts alternate. Urgent prompts soon
are late, and less urgent ones that can still be on time would then take all capacity.
Likewise the largest prompts of a kind are seldom on time under load, so the small ones
pass them. Both are noticed here by the share of the prompts that is served.
*/
import {ServedRatio} from './served-ratio.js';

/** Kinds that are tracked; a deployment has a few routes for each service. */
const maxKinds = 64;
/** Share of a kind's prompts that count as large. */
const largeShare = 0.1;
/** Step of the estimate of the size from which prompts are large, as a share of it. */
const sizeStep = 0.05;
/** Large prompts are neglected when they are served less often than this share of what their kind is; the requirement is half. */
const largeFloorShare = 0.65;
/** A kind is neglected when a less urgent one is served more often by this share of the prompts; the requirement is 0.05. */
const kindMargin = 0.02;
/** Outcomes below which the ratios say nothing. */
const minOutcomes = {kind: 10, large: 3} as const;

type Sample = {readonly kind: string; readonly priority: number; readonly tokens: number};

type Kind = {priority: number; largeTokens: number; readonly all: ServedRatio; readonly large: ServedRatio};

const ratioOf = ({offered, served}: ReturnType<ServedRatio['at']>): number => served / offered;

/**
The outcomes of one service's prompts by kind (route) and size.

@example
```
shares.record(prompt, false, now);
shares.neglected(now)(prompt);
```
*/
export class KindShares {
	readonly #kinds = new Map<string, Kind>();

	/** Records that a prompt was placed or refused. */
	record({kind: name, priority, tokens}: Sample, isServed: boolean, now: number): void {
		const kind = this.#kinds.get(name) ?? {
			priority, largeTokens: tokens, all: new ServedRatio(), large: new ServedRatio(),
		};
		if (this.#kinds.size < maxKinds) {
			this.#kinds.set(name, kind);
		}

		kind.priority = priority;
		kind.all.record(isServed, now);
		if (tokens >= kind.largeTokens) {
			kind.large.record(isServed, now);
		}

		// Settles where a tenth of the prompts is larger: each of those raises it nine times as far as each other one lowers it.
		kind.largeTokens *= 1 + (sizeStep * (tokens > kind.largeTokens ? 1 - largeShare : -largeShare));
	}

	/** Returns a function that is true for prompts which have to go first now, because their kind or its large prompts are served too seldom. */
	neglected(now: number): (prompt: Sample) => boolean {
		const minTokens = new Map([...this.#kinds].map(([name, kind]) => [name, this.#minNeglectedTokens(kind, now)]));
		return ({kind, tokens}) => tokens >= (minTokens.get(kind) ?? Number.POSITIVE_INFINITY);
	}

	/** True when a less urgent kind is in use, which must not take the capacity that prompts of this priority need. */
	precedesOthers(priority: number, now: number): boolean {
		return [...this.#kinds.values()].some(other => other.priority > priority && other.all.at(now).offered >= minOutcomes.kind);
	}

	/** The size from which prompts of a kind are neglected. */
	#minNeglectedTokens(kind: Kind, now: number): number {
		if (this.#isKindNeglected(kind, now)) {
			return 0;
		}

		return this.#isLargeNeglected(kind, now) ? kind.largeTokens : Number.POSITIVE_INFINITY;
	}

	#isLargeNeglected({all, large}: Kind, now: number): boolean {
		const largeOutcomes = large.at(now);
		return largeOutcomes.offered >= minOutcomes.large && ratioOf(largeOutcomes) < largeFloorShare * ratioOf(all.at(now));
	}

	#isKindNeglected({priority, all}: Kind, now: number): boolean {
		const outcomes = all.at(now);
		return outcomes.offered >= minOutcomes.kind && [...this.#kinds.values()].some(other => {
			const otherOutcomes = other.all.at(now);
			return other.priority > priority && otherOutcomes.offered >= minOutcomes.kind && ratioOf(otherOutcomes) > ratioOf(outcomes) + kindMargin;
		});
	}
}
