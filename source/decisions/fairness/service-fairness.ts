/**
Fairness between the teams that use one service: what each team has used, which of its
requests go first, and when refused callers come back.

Gateways do not see each other's queues. Each counts what it and, by the reports of its
peers, the other gateways let each team use, and orders its own queue by the sum
(docs/design/fairness.md compares this with local and leased shares).
*/
import type {WaitingPrompt} from '../entry/prompts/waiting-prompt.js';
import {isTimely} from '../entry/prompts/is-timely.js';
import {latencyModel} from '../entry/prompts/latency-model.js';
import {KindShares} from './kind-shares.js';
import {memoize} from './memoize.js';
import {PlacedWork} from './placed-work.js';
import type {PromptRank} from './prompt-rank.js';
import {rankPrompts} from './rank-prompts.js';
import {RefusedRequests} from './refused-requests.js';
import {ReturnSchedule} from './return-schedule.js';
import {TeamLedger} from './team-ledger.js';
import {UnreportedUsage} from './unreported-usage.js';
import {usageLevel} from './usage-level.js';

/** Weight of one more answer in the average decode time. */
const decodeWeight = 0.05;

type Usage = {readonly teams: readonly string[]; readonly milliseconds: readonly number[]};

type OpenPrompt = {readonly team: string; chargedDecodeMilliseconds: number};

/**
One instance for each service of a gateway with teams. All times are in milliseconds.

Invariant: each prompt that was placed is charged for its decode once, by what it took.

@example
```
const order = promptQueue.order(waiting, now, fairness.ranks(waiting, now));
fairness.recordPlaced(prompt, 94, now, rank);
fairness.recordEnded(prompt.id, 41, now);
```
*/
export class ServiceFairness {
	readonly #ledger = new TeamLedger();
	readonly #kinds = new KindShares();
	readonly #refused = new RefusedRequests();
	readonly #schedule = new ReturnSchedule();
	readonly #unreported = new UnreportedUsage();
	/** Prompts that were placed and whose request has not ended, by request. */
	readonly #open = new Map<string, OpenPrompt>();
	readonly #work = new PlacedWork();
	#decodeMilliseconds = 0;

	/** Number of teams that were active recently. */
	get teamCount(): number {
		return this.#ledger.teamCount;
	}

	/** The ranks of the prompts that wait now; undefined when no teams are configured. */
	ranks(waiting: readonly WaitingPrompt[], now: number): ReadonlyMap<WaitingPrompt, PromptRank> | undefined {
		if (waiting.some(({team}) => team === undefined)) {
			return undefined;
		}

		return rankPrompts(waiting, {
			usedBy: team => this.#ledger.usedBy(team, now),
			shareMilliseconds: this.#ledger.share(now, new Set(waiting.map(({team}) => team!))),
			isBelowFloor: team => this.#ledger.isBelowFloor(team, now),
			isNeglected: this.#kinds.neglected(now),
			precedesKinds: memoize(priority => this.#kinds.precedesOthers(priority, now)),
			isTimely: prompt => isTimely(prompt, now),
			rateBefore: this.#work.rates(now),
			isReturning: ({id}) => this.#refused.isReturning(id, now),
			costOf: ({tokens, sharedTokens}) => this.#decodeMilliseconds + latencyModel.prefill(Math.max(1, tokens - sharedTokens), sharedTokens),
		});
	}

	/** Charges a prompt that was placed: its prefill, and the decode of an average answer until its own is known. */
	recordPlaced(prompt: WaitingPrompt, prefillMilliseconds: number, now: number, rank?: PromptRank): void {
		const {id, team} = prompt;
		if (team === undefined) {
			return;
		}

		if (rank !== undefined) {
			this.#work.record(rank.plainOrder, prefillMilliseconds, now);
		}

		const open = this.#open.get(id);
		const decodeMilliseconds = open === undefined ? this.#decodeMilliseconds : 0;
		this.charge(team, prefillMilliseconds + decodeMilliseconds, now);
		if (open === undefined) {
			this.#open.set(id, {team, chargedDecodeMilliseconds: decodeMilliseconds});
			this.#ledger.recordOutcome(team, true, now);
			this.#kinds.record(prompt, true, now);
		}
	}

	/** Records that a waiting prompt was refused, or that its caller gave up. */
	recordRefused(prompt: WaitingPrompt, now: number): void {
		if (prompt.team !== undefined && !this.#open.has(prompt.id)) {
			this.#ledger.recordOutcome(prompt.team, false, now);
			this.#kinds.record(prompt, false, now);
			this.#refused.record(prompt.id, now);
		}
	}

	/** Replaces what a request was charged for its decode by what that took; undefined when it brought no event. */
	recordEnded(requestId: string, decodeMilliseconds: number | undefined, now: number): void {
		const open = this.#open.get(requestId);
		if (open === undefined) {
			return;
		}

		this.#open.delete(requestId);
		this.charge(open.team, (decodeMilliseconds ?? 0) - open.chargedDecodeMilliseconds, now);
		this.#decodeMilliseconds += decodeMilliseconds === undefined ? 0 : (decodeMilliseconds - this.#decodeMilliseconds) * decodeWeight;
	}

	/** Charges engine time, or the time of a slot of a plain target, that a team has used at this gateway. */
	charge(team: string, milliseconds: number, now: number): void {
		this.#ledger.charge(team, milliseconds, now);
		this.#unreported.add(team, milliseconds);
	}

	/** Records the outcome of a plain call. */
	recordCall(team: string, isServed: boolean, now: number): void {
		this.#ledger.recordOutcome(team, isServed, now);
	}

	/** Records that a plain call was refused, so that it is recognized when it comes back. */
	recordRefusedCall(requestId: string, now: number): void {
		this.#refused.record(requestId, now);
	}

	/** When a refused caller is to come back: the time until there is capacity, after those that were refused before. */
	returnDelay(waitMilliseconds: number, workMilliseconds: number, now: number): number {
		return this.#schedule.delay({waitMilliseconds, workMilliseconds}, now);
	}

	/** What a team has used and its share, for decisions on calls and for log lines. */
	standing(team: string, now: number): {readonly usedMilliseconds: number; readonly shareMilliseconds: number; readonly level: number; readonly isBelowFloor: boolean} {
		const usedMilliseconds = this.#ledger.usedBy(team, now);
		const shareMilliseconds = this.#ledger.share(now);
		return {
			usedMilliseconds, shareMilliseconds, level: usageLevel(usedMilliseconds, shareMilliseconds), isBelowFloor: this.#ledger.isBelowFloor(team, now),
		};
	}

	isReturning(requestId: string, now: number): boolean {
		return this.#refused.isReturning(requestId, now);
	}

	/** What was used and refused at this gateway and not reported to its peers yet; the teams that used most first. */
	takeReport(maxTeams: number, maxRefused: number): Usage & {readonly refused: readonly number[]} {
		return {...this.#unreported.take(maxTeams), refused: this.#refused.takeUnreported(maxRefused)};
	}

	/** Records what a peer reported. */
	recordReport({teams, milliseconds, refused}: Usage & {readonly refused: readonly number[]}, now: number): void {
		for (const [index, team] of teams.entries()) {
			this.#ledger.charge(team, milliseconds[index] ?? 0, now);
		}

		this.#refused.recordReported(refused, now);
	}
}
