/**
Applies the decisions on fairness between teams at this gateway, service by service, and
exchanges the figures behind them with the peers.

Requests without a team, on deployments that configure none, are neither counted nor ordered.
*/
import {CallAdmission} from '../decisions/fairness/call-admission.js';
import type {PromptRank} from '../decisions/fairness/prompt-rank.js';
import {reportRows} from '../decisions/fairness/report-rows.js';
import {ServiceFairness} from '../decisions/fairness/service-fairness.js';
import type {WaitingPrompt} from '../decisions/entry/prompts/waiting-prompt.js';
import type {EngineView} from '../decisions/entry/prompts/engine-view.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryMetrics} from './entry-metrics.js';

type Team = CallerRequest['team'];

type Ranks = NonNullable<ReturnType<ServiceFairness['ranks']>>;

type Usage = NonNullable<Extract<PeerMessage, {kind: 'digest'}>['usage']>;

type Hopeless = {readonly waitMilliseconds: number; readonly workMilliseconds: number};

/** The account of all requests on public routes without a known key; no team has an empty name. */
const anonymousAccount = '';

const reportToleranceMilliseconds = 300;

/**
One instance a process.

@example
```
const ranks = fairness.ranks('appraiser-models', [...queue.keys()]);
fairness.recordPlaced('appraiser-models', prompt, placement.readMilliseconds, rank);
```
*/
export class TeamFairness {
	readonly #services = new Map<string, {readonly fairness: ServiceFairness; readonly admission: CallAdmission}>();
	readonly #metrics: Pick<EntryMetrics, 'count'>;
	readonly #now: () => number;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** Least urgent priority of any team that has sent a request; anonymous requests come after it. */
	#leastUrgent = 0;

	constructor({metrics, now}: {readonly metrics: Pick<EntryMetrics, 'count'>; readonly now: () => number}) {
		this.#metrics = metrics;
		this.#now = now;
	}

	/** Most teams that were active recently at any service. */
	get teamCount(): number {
		return Math.max(0, ...[...this.#services.values()].map(({fairness}) => fairness.teamCount));
	}

	/** The account for which a request counts, and the priority of its team. */
	accountOf(team: Team): Pick<WaitingPrompt, 'team' | 'teamPriority'> {
		switch (team.kind) {
			case 'none': {
				return {team: undefined, teamPriority: 0};
			}

			case 'anonymous': {
				return {team: anonymousAccount, teamPriority: this.#leastUrgent + 1};
			}

			case 'team': {
				this.#leastUrgent = Math.max(this.#leastUrgent, team.priority);
				return {team: team.name, teamPriority: team.priority};
			}
		}
	}

	/** The ranks of waiting prompts; undefined without teams. */
	ranks(service: string, waiting: readonly WaitingPrompt[]): Ranks | undefined {
		return this.#has(waiting[0]) ? this.#of(service).fairness.ranks(waiting, this.#now()) : undefined;
	}

	/** Records that a prompt, which had this rank when its engine was chosen, was placed. */
	recordPlaced(service: string, prompt: WaitingPrompt, prefillMilliseconds: number, rank: PromptRank | undefined): void {
		if (this.#has(prompt)) {
			const {fairness} = this.#of(service);
			this.#countPlaced(prompt, fairness);
			fairness.recordPlaced(prompt, prefillMilliseconds, this.#now(), rank);
		}
	}

	/** Records that a waiting prompt was refused, or that its caller gave up. */
	recordRefused(service: string, prompt: WaitingPrompt): void {
		if (this.#has(prompt)) {
			this.#metrics.count('fairness.prompt.refused');
			this.#of(service).fairness.recordRefused(prompt, this.#now());
		}
	}

	/** When the caller of a prompt that is refused is to come back: after those that were refused before. */
	returnDelay(service: string, prompt: WaitingPrompt, {waitMilliseconds, workMilliseconds}: Hopeless): number {
		return this.#has(prompt) ? this.#of(service).fairness.returnDelay(waitMilliseconds, workMilliseconds, this.#now()) : waitMilliseconds;
	}

	/** Records that a request has ended. `slotMilliseconds` is how long it had a slot of a decode engine, if it brought events, and `slots` are that engine's. */
	recordEnded({team, service, facts}: CallerRequest, slotMilliseconds: number | undefined, slots: number): void {
		if (team.kind !== 'none') {
			this.#of(service).fairness.recordEnded(facts.requestId, slotMilliseconds === undefined ? undefined : slotMilliseconds / Math.max(1, slots), this.#now());
		}
	}

	/** Decides whether a call to a plain service is sent; a refused one comes back after `delayMilliseconds`. `targets` is called only where there are teams. */
	admitCall(request: CallerRequest, targets: () => readonly EngineView[]): {readonly kind: 'admit'} | (Extract<ReturnType<CallAdmission['decide']>, {kind: 'refuse'}> & {readonly delayMilliseconds: number}) {
		const {team, teamPriority} = this.accountOf(request.team);
		if (team === undefined) {
			return {kind: 'admit'};
		}

		const {service, facts: {requestId}, route: {priority}, deadlineAt} = request;
		const now = this.#now();
		const {fairness, admission} = this.#of(service);
		const {level, isBelowFloor} = fairness.standing(team, now);
		const decision = admission.decide({
			targets: targets(), remainingMilliseconds: deadlineAt - now, teamPriority, priority, level, isPreferred: isBelowFloor || fairness.isReturning(requestId, now),
		}, now);
		fairness.recordCall(team, decision.kind === 'admit', now);
		if (decision.kind === 'admit') {
			return decision;
		}

		this.#metrics.count('fairness.call.refused');
		fairness.recordRefusedCall(requestId, now);
		return {...decision, delayMilliseconds: fairness.returnDelay(decision.waitMilliseconds, decision.workMilliseconds, now)};
	}

	/** Charges an answered call to its team; `target` had the load of `view` when the call was sent. */
	recordAnsweredCall(request: CallerRequest, milliseconds: number, {attempts}: Pick<EngineView, 'attempts'>, {slots}: Pick<TargetRecord, 'slots'>): void {
		const {team} = this.accountOf(request.team);
		if (team !== undefined) {
			const {fairness, admission} = this.#of(request.service);
			admission.recordAnswered(milliseconds, {attempts, slots});
			fairness.charge(team, milliseconds / Math.max(1, attempts, slots), this.#now());
		}
	}

	/** Fields for log lines of a request; none without teams. */
	facts({team: of, service}: Pick<CallerRequest, 'team' | 'service'>): Readonly<Record<string, string | number>> {
		const {team} = this.accountOf(of);
		if (team === undefined) {
			return {};
		}

		const {usedMilliseconds, shareMilliseconds} = this.#of(service).fairness.standing(team, this.#now());
		return {team, teamUsedMilliseconds: Math.round(usedMilliseconds), teamShareMilliseconds: Math.round(shareMilliseconds)};
	}

	/** What this gateway's teams used since the last report, for the peers; undefined when there is nothing to report, or it is too early. */
	takeReport(gateways: number): Usage | undefined {
		const rows = reportRows(gateways);
		const now = this.#now();
		// Digests that may carry a report come about once a second, a little earlier or later.
		if (now - this.#reportedAt < rows.intervalMilliseconds - reportToleranceMilliseconds) {
			return undefined;
		}

		this.#reportedAt = now;
		const report = [...this.#services]
			.map(([service, {fairness}]) => ({service, ...fairness.takeReport(rows.teams, rows.refused)}))
			.filter(({teams, refused}) => teams.length > 0 || refused.length > 0)
			.map(({teams, milliseconds, refused, ...rest}) => ({
				...rest, teams: [...teams], milliseconds: [...milliseconds], refused: [...refused],
			}));
		return report.length === 0 ? undefined : report;
	}

	/** Records what a peer's teams used. Services that `isKnown` does not know are ignored. */
	recordReport(report: Usage, isKnown: (service: string) => boolean): void {
		for (const {service, ...usage} of report.filter(each => isKnown(each.service))) {
			this.#of(service).fairness.recordReport(usage, this.#now());
		}
	}

	#countPlaced({id, team}: WaitingPrompt, fairness: ServiceFairness): void {
		const now = this.#now();
		const {level, isBelowFloor} = fairness.standing(team!, now);
		this.#metrics.count(level > 0 ? 'fairness.placed.above-share' : 'fairness.placed.within-share');
		if (isBelowFloor) {
			this.#metrics.count('fairness.placed.below-floor');
		}

		if (fairness.isReturning(id, now)) {
			this.#metrics.count('fairness.placed.returning');
		}
	}

	#has(prompt: WaitingPrompt | undefined): boolean {
		return prompt?.team !== undefined;
	}

	#of(service: string): {readonly fairness: ServiceFairness; readonly admission: CallAdmission} {
		const known = this.#services.get(service) ?? {fairness: new ServiceFairness(), admission: new CallAdmission()};
		this.#services.set(service, known);
		return known;
	}
}
