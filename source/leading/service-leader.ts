/**
Leads one service from one gateway: holds the lease, plans, and gives orders.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as option from 'fp-ts/lib/Option.js';
import {candidateRank} from '../decisions/authority/candidate-rank.js';
import {decideLeadership} from '../decisions/authority/decide-leadership.js';
import type {LeadershipEffect} from '../decisions/authority/leadership-effect.js';
import type {LeadershipEvent} from '../decisions/authority/leadership-event.js';
import type {LeadershipState} from '../decisions/authority/leadership-state.js';
import {planRoles} from '../decisions/planning/plan-roles.js';
import {planVersion} from '../decisions/planning/plan-version.js';
import type {PlannerState} from '../decisions/planning/planner-state.js';
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {TargetView} from '../decisions/routing/target-view.js';
import type {ServiceConfiguration} from '../generated/configuration.js';
import type {
	FenceRaisedMessage, Message, Order, OrderResultMessage,
} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';
import {pause} from '../shared/pause.js';
import {OfferedDemand} from './offered-demand.js';
import {leadershipKey} from './leadership-key.js';
import {rolePolicy} from './role-policy.js';

const leaseSeconds = 6;
const rankMilliseconds = 700;
const busyMilliseconds = 3000;
/** An order that has not started by then never starts. */
const orderStartMilliseconds = 30_000;
const orderAnswerMilliseconds = 120_000;
const planMilliseconds = 1000;
/** A report sent this long after an order was given reflects it. */
const reportMilliseconds = 5000;

type LinkView = {
	readonly incarnation: string | undefined;
	readonly send: (message: Message) => boolean;
};

type LeaderOptions = {
	readonly gateway: string;
	readonly service: () => ServiceConfiguration;
	readonly version: () => string;
	readonly gateways: () => readonly string[];
	/** Services that this gateway leads, to spread leaders. */
	readonly ledServices: () => number;
	readonly store: KeyValueService;
	readonly directory: TargetDirectory;
	readonly link: (target: string) => LinkView;
	readonly metrics: Metrics;
};

type OutstandingOrder = {readonly target: string; readonly sequence: number; readonly sentAt: number; readonly order: Order};

const log = logger.child({module: 'leading'});

/**
One gateway's part in leading one service; most gateways only follow.

@example
```
const leader = new ServiceLeader(options);
setInterval(() => leader.tick(), 250);
```
*/
export class ServiceLeader {
	/** Orders that engines carried out, by action, for the status page. */
	readonly orders = new Map<string, number>();
	#state: LeadershipState = {kind: 'following', acquireAt: 0};
	#planner: option.Option<PlannerState> = option.none;
	#sequence = 0;
	#outstanding: OutstandingOrder | undefined;
	#plannedAt = 0;
	/** How long a vacant lease is left to gateways of better rank or with less to lead. */
	#holdBack = 0;
	readonly #demand = new OfferedDemand();
	readonly #options: LeaderOptions;

	constructor(options: LeaderOptions) {
		this.#options = options;
	}

	get isLeading(): boolean {
		return this.#state.kind === 'leading' || this.#state.kind === 'raising';
	}

	get fencingNumber(): number {
		return 'fencingNumber' in this.#state ? this.#state.fencingNumber : 0;
	}

	/** Names of the targets that the leader keeps links to. */
	get targetsToReach(): readonly string[] {
		return this.isLeading ? this.#targets().map(({name}) => name) : [];
	}

	/** To be called several times a second. */
	tick(): void {
		const {gateway, gateways, ledServices, service} = this.#options;
		const rank = candidateRank(service().name, gateway, gateways());
		this.#holdBack = pipe(rank, option.match(() => 0, place => (place * rankMilliseconds) + (ledServices() * busyMilliseconds)));
		this.#dispatch({
			kind: 'tick', isCandidate: option.isSome(rank), targets: this.#reachable(),
		});
		if (this.#state.kind === 'leading' && clock() - this.#plannedAt >= planMilliseconds) {
			this.#plannedAt = clock();
			this.#plan();
		}
	}

	/** Takes a sidecar's answer to a leader. */
	receive(target: string, message: FenceRaisedMessage | OrderResultMessage): void {
		if (message.kind === 'fence raised') {
			this.#dispatch({
				kind: 'fence raised', target: this.#withIncarnation(target), fencingNumber: message.fencingNumber, settled: message.settled,
			});
			return;
		}

		if (this.#outstanding?.target === target && this.#outstanding.sequence === message.sequence && this.fencingNumber === message.fencingNumber) {
			log.info({target, code: message.code, order: this.#outstanding.order.action}, 'order ended');
			this.#options.metrics.count(`order.ended.${message.code}`);
			if (message.code === resultCode.ok) {
				this.orders.set(this.#outstanding.order.action, (this.orders.get(this.#outstanding.order.action) ?? 0) + 1);
			}

			this.#outstanding = undefined;
		}
	}

	/** Gives the lease back, for a planned stop. */
	resign(): void {
		this.#dispatch({kind: 'resign'});
	}

	#dispatch(event: LeadershipEvent): void {
		const {state, effects} = decideLeadership(this.#state, event, clock());
		this.#state = state;
		for (const effect of effects) {
			this.#perform(effect);
		}
	}

	#perform(effect: LeadershipEffect): void {
		const {service, link} = this.#options;
		switch (effect.kind) {
			case 'acquire': {
				void this.#acquire();
				break;
			}

			case 'renew': {
				void this.#renew(effect.lease);
				break;
			}

			case 'release': {
				void this.#options.store.revokeLease(effect.lease);
				break;
			}

			case 'raise fence': {
				link(effect.target.split('@')[0] ?? '').send({kind: 'raise fence', fencingNumber: effect.fencingNumber});
				break;
			}

			case 'lead': {
				log.info({service: service().name, fencingNumber: effect.fencingNumber}, 'leading');
				break;
			}

			case 'step down': {
				log.warn({service: service().name}, 'no longer leading');
				this.#options.metrics.count('leadership.stepped-down');
				this.#outstanding = undefined;
				this.#planner = option.none;
				break;
			}
		}
	}

	async #acquire(): Promise<void> {
		const {store, service, gateway} = this.#options;
		const key = leadershipKey(service().name);
		if (!await this.#isVacant(key)) {
			this.#dispatch({kind: 'not acquired'});
			return;
		}

		const askedAt = clock();
		const lease = await store.grantLease(leaseSeconds);
		const swapped = lease.isOk()
			? await store.compareAndSwap({
				key, expectedRevision: 0, value: gateway, lease: lease.value,
			})
			: undefined;
		if (lease.isOk() && swapped?.isOk() === true && option.isSome(swapped.value)) {
			this.#sequence = 0;
			this.#outstanding = undefined;
			this.#dispatch({
				kind: 'acquired', askedAt, fencingNumber: swapped.value.value, lease: lease.value, seconds: leaseSeconds,
			});
			return;
		}

		// A write whose answer was lost is not led on: its lease lapses, and the next try gets a higher number.
		if (lease.isOk()) {
			void store.revokeLease(lease.value);
		}

		this.#dispatch({kind: 'not acquired'});
	}

	async #isVacant(key: string): Promise<boolean> {
		const found = await this.#options.store.read(key);
		if (found.isErr() || option.isSome(found.value)) {
			return false;
		}

		await pause(this.#holdBack);
		const foundAgain = await this.#options.store.read(key);
		return foundAgain.isOk() && option.isNone(foundAgain.value);
	}

	async #renew(lease: string): Promise<void> {
		const askedAt = clock();
		const kept = await this.#options.store.keepLeaseAlive(lease);
		this.#dispatch(kept.match(
			(seconds): LeadershipEvent => ({kind: 'renewed', askedAt, seconds}),
			() => ({kind: 'renewal failed'}),
		));
	}

	#plan(): void {
		this.#forgetSettledOrder();
		const {service, version} = this.#options;
		const configuration = service();
		const targets = this.#targets();
		const engines = targets.map(target => this.#toEngine(target));
		const demand = this.#demand.observe(targets);
		if (this.#outstanding !== undefined) {
			return;
		}

		const outdated = planVersion(engines, {model: configuration.model ?? '', version: version()});
		if (option.isSome(outdated)) {
			this.#give(outdated.value.name, {action: 'load model', model: configuration.model ?? '', version: version()});
			return;
		}

		if (configuration.roles === undefined) {
			return;
		}

		const {state, change} = planRoles(this.#planner, {demand, engines, ...rolePolicy(configuration.roles)}, clock());
		this.#planner = option.some(state);
		if (option.isSome(change)) {
			this.#give(change.value.engine, {action: 'change role', role: change.value.role});
		}
	}

	/** An order whose answer was lost has ended once a later report shows the engine settled. */
	#forgetSettledOrder(): void {
		if (this.#outstanding === undefined) {
			return;
		}

		const {target, sentAt} = this.#outstanding;
		const view = this.#options.directory.get(target);
		const hasSettled = view?.load?.changing === false && view.loadAt > sentAt + reportMilliseconds;
		if (hasSettled || clock() - sentAt > orderAnswerMilliseconds) {
			this.#options.metrics.count('order.answer-lost');
			this.#outstanding = undefined;
		}
	}

	/** Gives an order only while the lease is surely held. */
	#give(target: string, order: Order): void {
		if (this.#state.kind !== 'leading' || clock() >= this.#state.validUntil) {
			return;
		}

		this.#sequence += 1;
		const {fencingNumber} = this.#state;
		const sent = this.#options.link(target).send({
			kind: 'order', service: this.#options.service().name, fencingNumber, sequence: this.#sequence, notAfterMilliseconds: orderStartMilliseconds, order,
		});
		if (sent) {
			log.info({
				target, ...order, fencingNumber, sequence: this.#sequence,
			}, 'order given');
			this.#options.metrics.count(`order.given.${order.action.replaceAll(' ', '-')}`);
			this.#outstanding = {
				target, sequence: this.#sequence, sentAt: clock(), order,
			};
		}
	}

	#targets(): readonly TargetView[] {
		return this.#options.directory.ofService(this.#options.service().name).filter(({listedLeaving, leaving, load}) => !listedLeaving && !leaving && load !== undefined);
	}

	#toEngine(target: TargetView) {
		const settled = this.#state.kind === 'leading' && this.#state.settledTargets.includes(this.#withIncarnation(target.name));
		const {load} = target;
		return {
			name: target.name,
			availabilityZone: target.availabilityZone,
			role: load?.role ?? 'mixed',
			model: load?.model ?? '',
			version: load?.version ?? '',
			pendingWork: (load?.queuedPromptTokens ?? 0) + ((load?.totalPieces ?? 0) - (load?.freePieces ?? 0)),
			isReady: settled && load?.changing === false,
			isChanging: load?.changing === true || this.#outstanding?.target === target.name,
		};
	}

	#reachable(): readonly string[] {
		return this.isLeading
			? this.#options.directory.ofService(this.#options.service().name)
				.filter(({name}) => this.#options.link(name).incarnation !== undefined)
				.map(({name}) => this.#withIncarnation(name))
			: [];
	}

	/** A restarted sidecar has another incarnation and must settle again. */
	#withIncarnation(target: string): string {
		return `${target}@${this.#options.link(target).incarnation ?? ''}`;
	}
}
