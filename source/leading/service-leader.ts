/**
Runs the leader election of one service at one gateway; while elected, plans changes and sends orders to engines.
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
/** Delay before requesting a vacant lease, per position in the candidate ranking. */
const rankDelayMilliseconds = 700;
/** Delay before requesting a vacant lease, per service that the gateway already leads. */
const ledServiceDelayMilliseconds = 3000;
/** An order that has not started within this time after its arrival never starts. */
const orderStartTimeoutMilliseconds = 30_000;
/** An order without a result after this time no longer blocks other orders. */
const orderAnswerTimeoutMilliseconds = 120_000;
const planIntervalMilliseconds = 1000;
/** A load report received later than this after an order was sent shows the effect of the order. */
const reportDelayMilliseconds = 5000;

type LinkView = {
	readonly incarnation: string | undefined;
	readonly send: (message: Message) => boolean;
};

type LeaderOptions = {
	readonly gateway: string;
	readonly service: () => ServiceConfiguration;
	readonly version: () => string;
	readonly gateways: () => readonly string[];
	/** Number of services that this gateway leads, so that leaders spread over the gateways. */
	readonly ledServices: () => number;
	readonly store: KeyValueService;
	readonly directory: TargetDirectory;
	readonly link: (target: string) => LinkView;
	readonly metrics: Metrics;
};

type OutstandingOrder = {readonly target: string; readonly sequence: number; readonly sentAt: number; readonly order: Order};

const log = logger.child({module: 'leading'});

/**
Leader election and planning of one service at one gateway. At most gateways it stays a follower.

@example
```
const leader = new ServiceLeader(options);
setInterval(() => leader.tick(), 250);
```
*/
export class ServiceLeader {
	/** Number of orders that engines carried out, by action, for the status page. */
	readonly orders = new Map<string, number>();
	#state: LeadershipState = {kind: 'following', acquireAt: 0};
	#planner: option.Option<PlannerState> = option.none;
	#sequence = 0;
	#outstanding: OutstandingOrder | undefined;
	#lastPlannedAt = 0;
	/** Delay before requesting a vacant lease, so that a gateway with a better rank or fewer led services acquires it first. */
	#acquireDelayMilliseconds = 0;
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

	/** Names of the targets that the leader needs links to. */
	get targetsToReach(): readonly string[] {
		return this.isLeading ? this.#targets().map(({name}) => name) : [];
	}

	/** Must be called several times a second. */
	tick(): void {
		const {gateway, gateways, ledServices, service} = this.#options;
		const rank = candidateRank(service().name, gateway, gateways());
		this.#acquireDelayMilliseconds = pipe(rank, option.match(() => 0, index => (index * rankDelayMilliseconds) + (ledServices() * ledServiceDelayMilliseconds)));
		this.#dispatch({
			kind: 'tick', isCandidate: option.isSome(rank), targets: this.#connectedTargets(),
		});
		if (this.#state.kind === 'leading' && clock() - this.#lastPlannedAt >= planIntervalMilliseconds) {
			this.#lastPlannedAt = clock();
			this.#plan();
		}
	}

	/** Handles a sidecar's answer to the leader. */
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

	/** Releases the lease before a planned stop. */
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

		// This gateway does not lead after a write whose answer was lost: its lease is revoked or expires, and the next attempt gets a higher fencing number.
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

		await pause(this.#acquireDelayMilliseconds);
		const foundAgain = await this.#options.store.read(key);
		return foundAgain.isOk() && option.isNone(foundAgain.value);
	}

	async #renew(lease: string): Promise<void> {
		const askedAt = clock();
		const renewal = await this.#options.store.keepLeaseAlive(lease);
		this.#dispatch(renewal.match(
			(seconds): LeadershipEvent => ({kind: 'renewed', askedAt, seconds}),
			() => ({kind: 'renewal failed'}),
		));
	}

	#plan(): void {
		this.#clearFinishedOrder();
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
			this.#sendOrder(outdated.value.name, {action: 'load model', model: configuration.model ?? '', version: version()});
			return;
		}

		if (configuration.roles === undefined) {
			return;
		}

		const {state, change} = planRoles(this.#planner, {demand, engines, ...rolePolicy(configuration.roles)}, clock());
		this.#planner = option.some(state);
		if (option.isSome(change)) {
			this.#sendOrder(change.value.engine, {action: 'change role', role: change.value.role});
		}
	}

	/** Treats an order whose result was lost as ended when a later load report shows that the engine is not changing, or after a timeout. */
	#clearFinishedOrder(): void {
		if (this.#outstanding === undefined) {
			return;
		}

		const {target, sentAt} = this.#outstanding;
		const view = this.#options.directory.get(target);
		const hasFinished = view?.load?.changing === false && view.loadAt > sentAt + reportDelayMilliseconds;
		if (hasFinished || clock() - sentAt > orderAnswerTimeoutMilliseconds) {
			this.#options.metrics.count('order.answer-lost');
			this.#outstanding = undefined;
		}
	}

	/** Sends an order, but only while the lease is certain to be held. */
	#sendOrder(target: string, order: Order): void {
		if (this.#state.kind !== 'leading' || clock() >= this.#state.validUntil) {
			return;
		}

		this.#sequence += 1;
		const {fencingNumber} = this.#state;
		const sent = this.#options.link(target).send({
			kind: 'order', service: this.#options.service().name, fencingNumber, sequence: this.#sequence, notAfterMilliseconds: orderStartTimeoutMilliseconds, order,
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

	#connectedTargets(): readonly string[] {
		return this.isLeading
			? this.#options.directory.ofService(this.#options.service().name)
				.filter(({name}) => this.#options.link(name).incarnation !== undefined)
				.map(({name}) => this.#withIncarnation(name))
			: [];
	}

	/** Adds the sidecar's incarnation to a target's name. A restarted sidecar has another incarnation and must raise its fence again before it gets orders. */
	#withIncarnation(target: string): string {
		return `${target}@${this.#options.link(target).incarnation ?? ''}`;
	}
}
