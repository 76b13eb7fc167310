/**
Leased shares, for comparison only: an owner divides the engine time of the next interval
among the teams by what they asked for in the last one, and each team's among the gateways.
*/
import {isTimely} from '../../source/decisions/entry/prompts/is-timely.js';
import {latencyModel} from '../../source/decisions/entry/prompts/latency-model.js';
import type {WaitingPrompt} from '../../source/decisions/entry/prompts/waiting-prompt.js';
import {KindShares} from '../../source/decisions/fairness/kind-shares.js';
import {rankPrompts} from '../../source/decisions/fairness/rank-prompts.js';
import {RefusedRequests} from '../../source/decisions/fairness/refused-requests.js';
import {ReturnSchedule} from '../../source/decisions/fairness/return-schedule.js';
import {TeamLedger} from '../../source/decisions/fairness/team-ledger.js';
import type {SharedUse} from './shared-use.js';

/** What a team may use at a gateway at which it asked for nothing in the last interval, so that its first prompt does not wait for a lease. */
const minQuotaMilliseconds = 50;

type Quotas = Map<string, number>;

const costOf = ({tokens}: WaitingPrompt): number => latencyModel.prefill(Math.max(1, tokens), 0);

const add = (sums: Quotas, team: string, milliseconds: number): void => {
	sums.set(team, (sums.get(team) ?? 0) + milliseconds);
};

/** Divides capacity so that no team gets more than it asked for, and none that gets less than another got less than it asked for. */
const divide = (demand: Quotas, capacity: number): Quotas => {
	const granted: Quotas = new Map();
	let left = capacity;
	const byDemand = [...demand].toSorted(([, first], [, second]) => first - second);
	for (const [index, [team, asked]] of byDemand.entries()) {
		const grant = Math.min(asked, left / (byDemand.length - index));
		granted.set(team, grant);
		left -= grant;
	}

	return granted;
};

class Owner {
	readonly gateways: LeasedShares[] = [];
	#dividedAt = 0;
	readonly #capacity: number;
	readonly #interval: number;

	constructor(capacity: number, interval: number) {
		this.#capacity = capacity;
		this.#interval = interval;
	}

	/** Divides the next interval's capacity once the last one has ended. */
	tick(now: number): void {
		if (now < this.#dividedAt + this.#interval) {
			return;
		}

		this.#dividedAt = now;
		const demand: Quotas = new Map();
		for (const [team, milliseconds] of this.gateways.flatMap(gateway => [...gateway.demand])) {
			add(demand, team, milliseconds);
		}

		const granted = divide(demand, this.#capacity);
		for (const gateway of this.gateways) {
			gateway.renew(team => (granted.get(team) ?? 0) * (gateway.demand.get(team) ?? 0) / (demand.get(team) ?? 1));
		}
	}
}

/**
The shares of one gateway.

@example
```
const shares = LeasedShares.create(6, 8000, 1000);
```
*/
export class LeasedShares implements SharedUse {
	static create(gateways: number, capacity: number, interval: number): readonly SharedUse[] {
		const owner = new Owner(capacity, interval);
		owner.gateways.push(...Array.from({length: gateways}, () => new LeasedShares(owner)));
		return owner.gateways;
	}

	/** What teams asked for since the last renewal. */
	readonly demand: Quotas = new Map();
	#quotas: Quotas = new Map();
	readonly #used: Quotas = new Map();
	readonly #owner: Owner;
	readonly #ledger = new TeamLedger();
	readonly #kinds = new KindShares();
	readonly #refused = new RefusedRequests();
	readonly #schedule = new ReturnSchedule();

	constructor(owner: Owner) {
		this.#owner = owner;
	}

	renew(quotaOf: (team: string) => number): void {
		this.#quotas = new Map([...this.demand.keys()].map(team => [team, quotaOf(team)]));
		this.demand.clear();
		this.#used.clear();
	}

	readonly tick = (now: number): void => {
		this.#owner.tick(now);
	};

	readonly ranks = (waiting: readonly WaitingPrompt[], now: number): ReturnType<SharedUse['ranks']> => rankPrompts(waiting, {
		usedBy: team => (this.#used.get(team) ?? 0) / this.#quotaOf(team),
		shareMilliseconds: 1,
		isBelowFloor: team => this.#ledger.isBelowFloor(team, now),
		isNeglected: this.#kinds.neglected(now),
		precedesKinds: priority => this.#kinds.precedesOthers(priority, now),
		isTimely: prompt => isTimely(prompt, now),
		rateBefore: () => 0,
		isReturning: ({id}) => this.#refused.isReturning(id, now),
		costOf: prompt => costOf(prompt) / this.#quotaOf(prompt.team ?? ''),
	});

	readonly recordPlaced: SharedUse['recordPlaced'] = ({prompt}, prefillMilliseconds, decodeMilliseconds, now) => {
		const team = prompt.team ?? '';
		add(this.#used, team, prefillMilliseconds + decodeMilliseconds);
		add(this.demand, team, prefillMilliseconds + decodeMilliseconds);
		this.#record(prompt, true, now);
	};

	readonly recordRefused = (prompt: WaitingPrompt, now: number): void => {
		add(this.demand, prompt.team ?? '', costOf(prompt));
		this.#refused.record(prompt.id, now);
		this.#record(prompt, false, now);
	};

	readonly returnDelay: SharedUse['returnDelay'] = ({waitMilliseconds, workMilliseconds}, now) => this.#schedule.delay({waitMilliseconds, workMilliseconds}, now);

	#quotaOf(team: string): number {
		return Math.max(minQuotaMilliseconds, this.#quotas.get(team) ?? 0);
	}

	#record(prompt: WaitingPrompt, isServed: boolean, now: number): void {
		this.#ledger.recordOutcome(prompt.team ?? '', isServed, now);
		this.#kinds.record(prompt, isServed, now);
	}
}
