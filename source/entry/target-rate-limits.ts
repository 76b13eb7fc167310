/**
Keeps the rate limits that targets name, for all gateways together.

The gateways tell each other of limits. While a target has one, each request to it needs a permit.
One gateway, the owner, issues the permits of a target at the rate that the target takes; the others
ask it for some while they have requests. Whoever cannot ask has no permits: its requests go to
other targets, or are refused.
*/
import type {Logger} from 'roarr';
import {ReturnSchedule} from '../decisions/fairness/return-schedule.js';
import {askLifetimeMilliseconds} from '../decisions/limits/ask-lifetime-milliseconds.js';
import type {FleetView} from '../decisions/limits/fleet-view.js';
import {limitedWaitMilliseconds} from '../decisions/limits/limited-wait-milliseconds.js';
import {permitOwner} from '../decisions/limits/permit-owner.js';
import {RateLimitKnowledge} from '../decisions/limits/rate-limit-knowledge.js';
import type {NamedRateLimit} from '../fleet/named-rate-limit.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {Timers} from '../shared/timers.js';
import type {EntryMetrics} from './entry-metrics.js';
import {PermitIssuer} from './permit-issuer.js';
import {PermitRequester} from './permit-requester.js';

type Options = {
	readonly fleet: () => FleetView;
	/** Number of gateways that are alive, including this one. */
	readonly gatewayCount: () => number;
	readonly send: (peer: string, message: PeerMessage) => void;
	readonly broadcast: (message: PeerMessage) => void;
	/** Called when a target can take a request again for which it had no permit. */
	readonly onPermits: () => void;
	readonly log: Logger;
	readonly metrics: Pick<EntryMetrics, 'count' | 'gauge'>;
	readonly now: () => number;
	readonly timers: Pick<Timers, 'after'>;
};

type Change = NonNullable<ReturnType<RateLimitKnowledge['observe']>>;

type RateLimitMessage = Extract<PeerMessage, {kind: 'rate limit'}>;
type PermitAsk = Extract<PeerMessage, {kind: 'permit ask'}>;

/** Name of this gateway among those that ask its own issuer. */
const ownName = '';
/** A process that has just started does not know yet who else owns what, nor what its predecessor has issued. */
const startMilliseconds = 3000;
/** How long a determined owner counts, so that the fleet is not ranked again for each request. */
const ownerMilliseconds = 100;
/** A target that takes nothing, or next to nothing, gets so many requests a second, as nobody would learn otherwise when it takes more. */
const minIssuedPerSecond = 0.4;
/** What this gateway expects of a limit at least, so that an estimate stays finite. */
const minPermitsPerSecond = 0.05;
/** Lines about limits in force are written that often, for so many targets at most. */
const report = {milliseconds: 5000, targets: 8} as const;

/**
One instance a process. Targets are named by incarnation, so that a restarted one has no limit.

Invariant: a target with a limit gets no request from this gateway for which no permit was taken.

@example
```
rateLimits.record(target, {kind: 'named', requestsPerSecond: 8.6}, sentAt);
rateLimits.want([target.incarnation]);
if (rateLimits.tryTake(target.incarnation)) {
	send(target);
}
```
*/
export class TargetRateLimits {
	readonly #options: Options;
	readonly #knowledge = new RateLimitKnowledge();
	/** Owners as they were determined last. */
	readonly #owners = new Map<string, {readonly owner: ReturnType<typeof permitOwner>; readonly at: number}>();
	/** By service, when refused callers come back. */
	readonly #schedules = new Map<string, ReturnSchedule>();
	readonly #requester: PermitRequester;
	readonly #issuer: PermitIssuer;
	readonly #startedAt: number;
	#reportedAt = Number.NEGATIVE_INFINITY;

	constructor(options: Options) {
		this.#options = options;
		const {gatewayCount, onPermits, metrics, now, timers} = options;
		const askLifetime = (): number => askLifetimeMilliseconds(gatewayCount());
		this.#startedAt = now();
		this.#requester = new PermitRequester({
			limitOf: incarnation => this.limitOf(incarnation),
			ask: ask => {
				this.#ask(ask);
			},
			askLifetime,
			onPermits,
			metrics,
			now,
			timers,
		});
		this.#issuer = new PermitIssuer({
			issueRate: incarnation => this.#issueRate(incarnation),
			hand: (gateway, permits) => {
				this.#hand(gateway, permits);
			},
			askLifetime,
			metrics,
			now,
			timers,
		});
	}

	/** True while any target has a limit. */
	get hasLimits(): boolean {
		return this.#knowledge.hasLimits;
	}

	/** The limit that a target names, in requests a second; undefined when it names none. */
	limitOf(incarnation: string): number | undefined {
		return this.#knowledge.limitOf(incarnation);
	}

	/** True when there are targets and each of them has a limit. */
	areAllLimited(incarnations: readonly string[]): boolean {
		return incarnations.length > 0 && incarnations.every(incarnation => this.limitOf(incarnation) !== undefined);
	}

	/** Requests that the target may get from this gateway now; undefined for a target without a limit. */
	permits(incarnation: string): number | undefined {
		return this.limitOf(incarnation) === undefined ? undefined : this.#requester.count(incarnation);
	}

	/** Permits a second that this gateway can expect: an equal share, or what it has got lately if that is more; undefined for a target without a limit. */
	permitsPerSecond(incarnation: string): number | undefined {
		const limit = this.limitOf(incarnation);
		return limit === undefined ? undefined : Math.max(minPermitsPerSecond, limit / this.#options.gatewayCount(), this.#requester.receivedPerSecond(incarnation));
	}

	/** Records what an answer says; `sentAt` is when its request was sent, undefined when an answer without a limit proves nothing. */
	record({incarnation, id, address}: TargetRecord, limit: NamedRateLimit, sentAt: number | undefined): void {
		const {metrics, now} = this.#options;
		if (limit.kind === 'malformed') {
			metrics.count('target.rate-limit.malformed');
			return;
		}

		const change = this.#knowledge.observe(incarnation, limit, {sentAt, now: now()});
		if (change !== undefined) {
			this.#apply(incarnation, change, {target: id, address, source: 'answer'});
			this.#announce(incarnation);
		}
	}

	/** Asks for permits for one more request that any of these targets could take. */
	want(incarnations: readonly string[]): void {
		for (const incarnation of this.#limited(incarnations)) {
			this.#requester.want(incarnation);
		}
	}

	/** Asks again where requests wait for these targets. */
	wantForWaiting(incarnations: readonly string[]): void {
		for (const incarnation of this.#limited(incarnations)) {
			this.#requester.wantForWaiting(incarnation);
		}
	}

	/** Uses a permit for a request to the target; false when it has a limit and there is none. */
	tryTake(incarnation: string): boolean {
		return this.limitOf(incarnation) === undefined || this.#requester.tryTake(incarnation);
	}

	/** Calls back once, when permits have arrived that were asked for, or soon after when none have; returns a function that ends the wait. */
	waitForPermits(act: () => void): () => void {
		return this.#requester.waitForPermits(act);
	}

	/** The time after which a refused caller of targets that all have limits is to come back, later for each one that is refused. */
	returnMilliseconds(service: string, incarnations: readonly string[]): number {
		const waitMilliseconds = limitedWaitMilliseconds(incarnations.map(incarnation => ({permitsPerSecond: this.permitsPerSecond(incarnation)})), 0);
		const schedule = this.#schedules.get(service) ?? new ReturnSchedule();
		this.#schedules.set(service, schedule);
		return schedule.delay({waitMilliseconds, workMilliseconds: waitMilliseconds}, this.#options.now());
	}

	receive(peer: string, message: PermitAsk | RateLimitMessage | Extract<PeerMessage, {kind: 'permits'}>): void {
		switch (message.kind) {
			case 'permit ask': {
				this.#handleAsk(peer, message);
				return;
			}

			case 'permits': {
				this.#requester.receive(message);
				return;
			}

			case 'rate limit': {
				this.#adopt(peer, message);
			}
		}
	}

	/** Tells a gateway that has just been linked the limits of the targets that this one owns. */
	sendTo(peer: string): void {
		for (const {incarnation} of this.#knowledge.limited) {
			if (this.#ownerOf(incarnation).kind === 'own') {
				this.#options.send(peer, this.#messageOf(incarnation));
			}
		}
	}

	/** Issues nothing more. */
	stop(): void {
		this.#issuer.keepOnly(new Set());
	}

	removePeer(peer: string): void {
		this.#issuer.removePeer(peer);
	}

	/** Forgets targets that are gone, and reports the limits in force. */
	keepOnly(targets: ReadonlyMap<string, Pick<TargetRecord, 'id'>>): void {
		this.#knowledge.keepOnly(new Set(targets.keys()));
		const limited = new Set(this.#knowledge.limited.map(({incarnation}) => incarnation));
		this.#issuer.keepOnly(limited);
		this.#requester.keepOnly(limited);
		for (const incarnation of this.#owners.keys()) {
			if (!limited.has(incarnation)) {
				this.#owners.delete(incarnation);
			}
		}

		this.#options.metrics.gauge('targets.rate-limited', limited.size);
		this.#reportLimits(targets);
	}

	#limited(incarnations: readonly string[]): readonly string[] {
		return incarnations.filter(incarnation => this.limitOf(incarnation) !== undefined);
	}

	#ownerOf(incarnation: string): ReturnType<typeof permitOwner> {
		const at = this.#options.now();
		const known = this.#owners.get(incarnation);
		if (known !== undefined && at - known.at < ownerMilliseconds) {
			return known.owner;
		}

		const owner = permitOwner(incarnation, this.#options.fleet());
		this.#owners.set(incarnation, {owner, at});
		return owner;
	}

	#issueRate(incarnation: string): number | undefined {
		const limit = this.limitOf(incarnation);
		const owner = this.#ownerOf(incarnation);
		const isSettled = this.#options.now() - this.#startedAt >= startMilliseconds;
		return limit === undefined || owner.kind !== 'own' || !isSettled ? undefined : Math.max(limit, minIssuedPerSecond) * owner.share;
	}

	/** Asks the owner of a target's permits, and says which limit this gateway knows of. */
	#ask(ask: Pick<PermitAsk, 'target' | 'wanted' | 'askedAt'>): void {
		const {send, metrics} = this.#options;
		const owner = this.#ownerOf(ask.target);
		switch (owner.kind) {
			case 'own': {
				this.#issuer.ask(ownName, ask);
				return;
			}

			case 'peer': {
				const {ageMilliseconds, requestsPerSecond = 0} = this.#messageOf(ask.target);
				send(owner.name, {
					kind: 'permit ask', ...ask, requestsPerSecond, ageMilliseconds,
				});
				return;
			}

			case 'unreachable': {
				metrics.count('permit.owner-unreachable');
			}
		}
	}

	/** Where the limit that the asking gateway knows of has ended since, it is told so. */
	#handleAsk(peer: string, {target, wanted, askedAt, requestsPerSecond, ageMilliseconds}: PermitAsk): void {
		this.#adopt(peer, {
			kind: 'rate limit', target, requestsPerSecond, ageMilliseconds,
		});
		if (this.limitOf(target) === undefined) {
			this.#options.send(peer, this.#messageOf(target));
		} else {
			this.#issuer.ask(peer, {target, wanted, askedAt});
		}
	}

	#hand(gateway: string, permits: Extract<PeerMessage, {kind: 'permits'}>): void {
		if (gateway === ownName) {
			this.#requester.receive(permits);
		} else {
			this.#options.send(gateway, permits);
		}
	}

	/** Takes what a peer knows of a limit. The owner tells all others of a change. */
	#adopt(peer: string, {target, requestsPerSecond, ageMilliseconds}: RateLimitMessage): void {
		const change = this.#knowledge.adopt(target, {requestsPerSecond, at: this.#options.now() - ageMilliseconds});
		if (change === undefined) {
			return;
		}

		this.#apply(target, change, {target, source: 'peer', peer});
		if (this.#ownerOf(target).kind === 'own') {
			this.#announce(target);
		}
	}

	#apply(incarnation: string, {kind, requestsPerSecond, former}: Change, source: Readonly<Record<string, string>>): void {
		const {log, metrics} = this.#options;
		metrics.count(`target.rate-limit.${kind}`);
		log.info({
			event: `rate limit ${kind}`, ...source, requestsPerSecond, former,
		}, `rate limit of a target has ${kind}`);
		if (kind === 'ended') {
			this.#requester.discard(incarnation);
		}
	}

	/** Tells the owner of the target's permits, which tells all others; the owner itself does so at once. */
	#announce(incarnation: string): void {
		const {send, broadcast} = this.#options;
		const owner = this.#ownerOf(incarnation);
		switch (owner.kind) {
			case 'own': {
				broadcast(this.#messageOf(incarnation));
				break;
			}

			case 'peer': {
				send(owner.name, this.#messageOf(incarnation));
				break;
			}

			case 'unreachable': {
				// Each gateway hears of the limit in answers to its own requests too.
				break;
			}
		}
	}

	#messageOf(incarnation: string): RateLimitMessage {
		const known = this.#knowledge.of(incarnation);
		const ageMilliseconds = known === undefined ? 0 : Math.max(0, Math.round(this.#options.now() - known.at));
		return known?.requestsPerSecond === undefined
			? {kind: 'rate limit', target: incarnation, ageMilliseconds}
			: {
				kind: 'rate limit', target: incarnation, ageMilliseconds, requestsPerSecond: known.requestsPerSecond,
			};
	}

	/** Writes the limits in force, how old they are, who issues their permits, and what this gateway gets of them. */
	#reportLimits(targets: ReadonlyMap<string, Pick<TargetRecord, 'id'>>): void {
		const {log, now} = this.#options;
		const at = now();
		if (at - this.#reportedAt < report.milliseconds) {
			return;
		}

		this.#reportedAt = at;
		for (const {incarnation, requestsPerSecond, at: saidAt} of this.#knowledge.limited.slice(0, report.targets)) {
			const owner = this.#ownerOf(incarnation);
			log.info({
				event: 'rate limit in force',
				target: targets.get(incarnation)?.id,
				requestsPerSecond,
				age: Math.round(at - saidAt),
				owner: owner.kind === 'peer' ? owner.name : owner.kind,
				share: owner.kind === 'own' ? owner.share : undefined,
				permits: this.permits(incarnation),
				receivedPerSecond: this.#requester.receivedPerSecond(incarnation),
			}, 'target has a rate limit');
		}
	}
}
