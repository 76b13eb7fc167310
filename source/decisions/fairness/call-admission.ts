/**
Decides which calls to an overloaded plain service are refused on arrival.

When calls arrive faster than all targets can run them, each waits at its target behind
all before it. Soon every call is answered after its caller has given up, and the targets
work for nobody. So a call that cannot be answered in time is refused at once. Targets run
calls in order of arrival, so urgent ones cannot pass the others there: less urgent calls,
and those of teams that have used more than their share, are refused at a lower load, and
leave the difference to the rest.
*/

/** Running calls as a multiple of the slots from which all targets count as overloaded. */
const overloadFactor = 2;
/** How much longer the answer is assumed to take: for each more urgent rank that is in use, and for each usage level. */
const caution = {
	perRank: 0.25, maxRanks: 3, perLevel: 0.05, maxLevels: 8,
} as const;
/** Time for the answer to reach the caller. */
const answerMarginMilliseconds = 25;
/** A rank counts as in use for this time after its last call. */
const rankLifetimeMilliseconds = 10_000;
/** Upper bound of the ranks that are remembered; a deployment has a few priorities. */
const maxRanks = 64;
/** Weight of one more answer in the average work time. */
const workWeight = 0.05;

type Load = {readonly attempts: number; readonly slots: number};

type Call = {
	readonly targets: readonly Load[];
	readonly remainingMilliseconds: number;
	readonly teamPriority: number;
	readonly priority: number;
	/** What its team has used against its share, as `usageLevel` grades it. */
	readonly level: number;
	/** True when it goes before others of its rank: its team is served too seldom, or its caller has come back. */
	readonly isPreferred: boolean;
};

type Admission =
	| {readonly kind: 'admit'}
	| {
		readonly kind: 'refuse';
		/** Time the answer would take. */
		readonly expectedMilliseconds: number;
		/** Time until no target is overloaded. */
		readonly waitMilliseconds: number;
		/** Time that all targets together need for one call. */
		readonly workMilliseconds: number;
	};

type Rank = {readonly teamPriority: number; readonly priority: number; readonly usedAt: number};

const isMoreUrgent = (rank: Rank, {teamPriority, priority}: Call): boolean => rank.teamPriority < teamPriority || (rank.teamPriority === teamPriority && rank.priority < priority);

const usedShare = ({attempts, slots}: Load): number => attempts / Math.max(1, slots);

/**
The admission of calls to one plain service at one gateway.

@example
```
admission.recordAnswered(120, {attempts: 4, slots: 8});
admission.decide(call, now).kind;
```
*/
export class CallAdmission {
	readonly #ranks = new Map<string, Rank>();
	/** Average time in which a target that has a free slot answers; undefined until one has answered. */
	#workMilliseconds: number | undefined;

	/** Records how long a call took at a target that had this load when it was sent. */
	recordAnswered(milliseconds: number, load: Load): void {
		const workMilliseconds = milliseconds / Math.max(1, usedShare(load));
		this.#workMilliseconds = this.#workMilliseconds === undefined ? workMilliseconds : this.#workMilliseconds + ((workMilliseconds - this.#workMilliseconds) * workWeight);
	}

	/** Decides on a call that was not sent yet. */
	decide(call: Call, now: number): Admission {
		const moreUrgentRanks = this.#moreUrgentRanks(call, now);
		const lowestShare = Math.min(...call.targets.map(target => usedShare(target)));
		if (this.#workMilliseconds === undefined || lowestShare < overloadFactor || call.targets.length === 0) {
			return {kind: 'admit'};
		}

		const levels = call.isPreferred ? 0 : Math.min(caution.maxLevels, call.level);
		const factor = 1 + (caution.perRank * Math.min(caution.maxRanks, moreUrgentRanks)) + (caution.perLevel * levels);
		const slots = call.targets.reduce((sum, target) => sum + target.slots, 0);
		const expectedMilliseconds = this.#workMilliseconds * lowestShare;
		return (expectedMilliseconds * factor) + answerMarginMilliseconds <= call.remainingMilliseconds
			? {kind: 'admit'}
			: {
				kind: 'refuse', expectedMilliseconds, waitMilliseconds: this.#workMilliseconds * (lowestShare - 1), workMilliseconds: this.#workMilliseconds / Math.max(1, slots),
			};
	}

	/** Records the rank of a call and returns how many more urgent ones are in use. */
	#moreUrgentRanks(call: Call, now: number): number {
		const {teamPriority, priority} = call;
		const key = `${teamPriority} ${priority}`;
		if (this.#ranks.has(key) || this.#ranks.size < maxRanks) {
			this.#ranks.set(key, {teamPriority, priority, usedAt: now});
		}

		return [...this.#ranks.values()].filter(rank => now - rank.usedAt < rankLifetimeMilliseconds && isMoreUrgent(rank, call)).length;
	}
}
