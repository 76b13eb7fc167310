/**
The routing, admission and planning decisions against emulated engines in
virtual time, for paired measurements of policies.

Each gateway has its own directory and hears of loads late; nothing is shared.
*/
import * as option from 'fp-ts/lib/Option.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {AttemptEffect} from '../source/decisions/attempts/attempt-effect.js';
import {AttemptTable} from '../source/decisions/attempts/attempt-table.js';
import {RetryBudget} from '../source/decisions/request/retry-budget.js';
import {chooseTarget} from '../source/decisions/routing/choose-target.js';
import {TargetDirectory} from '../source/decisions/routing/target-directory.js';
import type {TargetView} from '../source/decisions/routing/target-view.js';
import type {
	AttemptMessage, EngineRole, Importance, Message,
} from '../source/generated/messages.js';
import {resultCode} from '../source/generated/result-codes.js';
import {EngineModel} from '../stand-ins/engine-model.js';
import type {VirtualArrival} from './virtual-arrival.js';
import type {VirtualEngine} from './virtual-engine.js';
import type {VirtualRequest} from './virtual-request.js';

type RoutingPolicy = 'ours' | 'round robin' | 'least loaded';
type FleetOptions = {
	readonly seed: number;
	readonly gateways: number;
	readonly zones: readonly string[];
	readonly roles: readonly EngineRole[];
	readonly routing: RoutingPolicy;
	readonly reportMilliseconds: number;
	readonly slowness?: readonly number[];
};
const roleChangeMilliseconds = 3000;
const slotMilliseconds = 5;
const tickMilliseconds = 50;
const stateMilliseconds = 500;
const mostAttempts = 6;
const hopMilliseconds = 1;
const ranks: Readonly<Record<Importance, number>> = {low: 0, normal: 1, high: 2};

/**
A fleet in virtual time.

@example
```
const fleet = new VirtualFleet(options);
fleet.arrive(arrival);
fleet.advance(1000);
```
*/
export class VirtualFleet {
	/** How long a role change takes an emptied engine out of service. */
	static get changeMilliseconds(): number {
		return roleChangeMilliseconds;
	}

	now = 0;
	roleChanges = 0;
	attempts = 0;
	readonly requests: VirtualRequest[] = [];
	readonly engines: readonly VirtualEngine[];
	readonly #options: FleetOptions;
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	readonly #directories: readonly TargetDirectory[];
	readonly #budgets: readonly RetryBudget[];
	readonly #open = new Map<string, VirtualRequest>();
	#deliveries: Array<{readonly at: number; readonly run: () => void}> = [];
	#next = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.engines = options.roles.map((role, index) => this.#createEngine(role, index));
		this.#directories = Array.from({length: options.gateways}, () => new TargetDirectory());
		this.#budgets = this.#directories.map(() => new RetryBudget(0.2));
		for (const directory of this.#directories) {
			for (const {name, zone} of this.engines) {
				directory.upsert({name, service: 'models', availabilityZone: zone});
			}
		}

		for (const engine of this.engines) {
			this.#report(engine, 0);
		}
	}

	/** What a leader with a fresh report from each engine would see. */
	get views(): readonly TargetView[] {
		const [directory] = this.#directories;
		return (directory?.all ?? []).map((view, index) => ({...view, load: this.engines[index]?.table.load(this.now), loadAt: this.now}));
	}

	random(): number {
		return uniformFloat64(this.#random);
	}

	arrive(arrival: VirtualArrival): void {
		const gateway = Math.floor(this.random() * this.#directories.length);
		const record: VirtualRequest = {
			...arrival,
			number: this.requests.length,
			gateway,
			arrivedAt: this.now,
			attempts: 0,
			avoid: [],
			firstAt: 0,
			lastAt: 0,
			gaps: [],
			ending: 'open',
			target: '',
		};
		this.requests.push(record);
		this.#budgets[gateway]!.recordRequest();
		this.#try(record);
	}

	advance(milliseconds: number): void {
		const until = this.now + milliseconds;
		while (this.now < until) {
			this.now += slotMilliseconds;
			const due = this.#deliveries.filter(({at}) => at <= this.now);
			this.#deliveries = this.#deliveries.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			for (const engine of this.engines) {
				this.#runEngine(engine);
			}
		}
	}

	/** Begins a role change: the engine is emptied, then out of service for a time. */
	changeRole(name: string, role: EngineRole): void {
		const engine = this.engines.find(candidate => candidate.name === name);
		if (engine === undefined || engine.nextRole !== undefined) {
			return;
		}

		this.roleChanges += 1;
		engine.nextRole = role;
		this.#perform(engine, engine.table.handle({kind: 'empty'}, this.now));
		this.#report(engine, hopMilliseconds);
	}

	/** Kills all engines of a zone at once; what ran there is lost and gateways find out by failing. */
	killZone(zone: string): void {
		for (const engine of this.engines.filter(candidate => candidate.zone === zone)) {
			engine.dead = true;
			for (const id of engine.model.clear()) {
				this.#lost(engine, id);
			}
		}
	}

	#createEngine(role: EngineRole, index: number): VirtualEngine {
		const model = new EngineModel(role, {slowness: this.#options.slowness?.[index] ?? 1});
		const table = new AttemptTable({kind: 'engine', ...model.capacity});
		table.targetState = {
			role, model: 'standard', version: '1', changing: false,
		};
		return {
			name: `engine-${index + 1}`,
			zone: this.#options.zones[index % this.#options.zones.length]!,
			model,
			table,
			dead: false,
			changingUntil: 0,
			nextRole: undefined,
			reportedAt: 0,
		};
	}

	#choose(record: VirtualRequest): TargetView | undefined {
		const directory = this.#directories[record.gateway]!;
		const views = directory.ofService('models').filter(view => !view.leaving && !record.avoid.includes(view.name));
		switch (this.#options.routing) {
			case 'ours': {
				return option.toUndefined(chooseTarget(directory.ofService('models'), {
					kind: 'model', prefix: record.prompt.slice(0, 2048), promptTokens: record.promptTokens, outputTokens: record.outputTokens, avoid: record.avoid,
				}, {
					gateway: `gateway-${record.gateway}`,
					availabilityZone: this.#options.zones[record.gateway % this.#options.zones.length]!,
					now: this.now,
					random: () => this.random(),
				}));
			}

			case 'round robin': {
				this.#next += 1;
				return views[this.#next % Math.max(1, views.length)];
			}

			case 'least loaded': {
				const load = (view: TargetView): number => (view.load?.running ?? 0) + (view.load?.queued ?? 0) + view.sentSince;
				return views.length === 0 ? undefined : views.reduce((least, view) => load(view) < load(least) ? view : least);
			}
		}
	}

	#try(record: VirtualRequest): void {
		const target = this.#choose(record);
		if (target === undefined) {
			record.ending = 'not run';
			return;
		}

		const directory = this.#directories[record.gateway]!;
		const engine = this.engines.find(({name}) => name === target.name)!;
		record.attempts += 1;
		record.target = target.name;
		this.attempts += 1;
		directory.recordSent(target.name, record.promptTokens);
		const attemptId = `${record.number}-${record.attempts}`;
		this.#open.set(attemptId, record);
		this.#later(hopMilliseconds, () => {
			if (engine.dead) {
				this.#refused(attemptId, record, target.name, true);
				return;
			}

			this.#perform(engine, engine.table.handle({kind: 'attempt arrived', link: String(record.gateway), message: this.#message(attemptId, record)}, this.now));
		});
	}

	#message(attemptId: string, record: VirtualRequest): AttemptMessage {
		return {
			kind: 'attempt',
			attemptId,
			requestId: attemptId,
			organisation: record.organisation,
			importance: record.importance,
			repeatable: true,
			remainingMilliseconds: record.deadlineMilliseconds - (this.now - record.arrivedAt),
			method: 'POST',
			path: '/',
			body: '',
			promptTokens: record.promptTokens,
			outputTokens: record.outputTokens,
			streamed: true,
		};
	}

	#later(milliseconds: number, run: () => void): void {
		this.#deliveries.push({at: this.now + milliseconds, run});
	}

	#perform(engine: VirtualEngine, effects: readonly AttemptEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'run': {
					const record = this.#open.get(effect.message.attemptId)!;
					engine.model.now = Math.max(engine.model.now, this.now - slotMilliseconds);
					engine.model.submit({
						id: effect.message.attemptId, prompt: record.prompt, promptTokens: record.promptTokens, outputTokens: record.outputTokens, importance: ranks[record.importance],
					});
					break;
				}

				case 'send': {
					this.#later(hopMilliseconds, () => {
						this.#receive(engine, effect.message);
					});
					break;
				}

				case 'stop':
				case 'count': {
					break;
				}
			}
		}
	}

	#receive(engine: VirtualEngine, message: Message): void {
		if (!('attemptId' in message)) {
			return;
		}

		const record = this.#open.get(message.attemptId);
		if (record === undefined) {
			return;
		}

		const directory = this.#directories[record.gateway]!;
		if (message.kind === 'output') {
			if (record.firstAt === 0) {
				record.firstAt = this.now;
			} else {
				record.gaps.push(this.now - record.lastAt);
			}

			record.lastAt = this.now;
		}

		if (message.kind === 'finished') {
			this.#open.delete(message.attemptId);
			directory.recordEnded(engine.name);
			directory.recordLoad(engine.name, message.load, this.now);
			directory.recordSuccess(engine.name);
			record.ending = this.now - record.arrivedAt <= record.deadlineMilliseconds ? 'answered' : 'lost';
			engine.table.handle({kind: 'acknowledge', attemptId: message.attemptId, receivedThrough: message.sequence}, this.now);
		}

		if (message.kind === 'refused') {
			directory.recordLoad(engine.name, message.load, this.now);
			directory.setLeaving(engine.name, message.load.leaving);
			this.#refused(message.attemptId, record, engine.name, false);
		}
	}

	#refused(attemptId: string, record: VirtualRequest, target: string, isFailure: boolean): void {
		this.#open.delete(attemptId);
		const directory = this.#directories[record.gateway]!;
		directory.recordEnded(target);
		if (isFailure) {
			directory.recordFailure(target, this.now);
		}

		record.avoid.push(target);
		const budget = this.#budgets[record.gateway]!;
		if (record.attempts < mostAttempts && budget.allowsRetry && this.now - record.arrivedAt < record.deadlineMilliseconds) {
			budget.recordRetry();
			this.#try(record);
			return;
		}

		record.ending = 'not run';
	}

	#lost(engine: VirtualEngine, attemptId: string): void {
		const record = this.#open.get(attemptId);
		if (record !== undefined) {
			this.#refused(attemptId, record, engine.name, true);
		}
	}

	#runEngine(engine: VirtualEngine): void {
		if (engine.dead) {
			return;
		}

		if (engine.nextRole !== undefined) {
			this.#advanceChange(engine);
		}

		for (const event of engine.model.advance(this.now)) {
			this.#perform(engine, engine.table.handle(event.kind === 'token'
				? {kind: 'target output', attemptId: event.id, text: '.'}
				: {
					kind: 'target finished', attemptId: event.id, code: resultCode.ok, status: 200, finishReason: 'length', contentType: '',
				}, this.now));
		}

		if (this.now % tickMilliseconds === 0) {
			this.#perform(engine, engine.table.handle({kind: 'tick'}, this.now));
		}

		if (this.now % stateMilliseconds === 0) {
			engine.table.updateCapacity({kind: 'engine', ...engine.model.capacity});
		}

		if (this.now - engine.reportedAt >= this.#options.reportMilliseconds) {
			this.#report(engine, this.#options.reportMilliseconds / 2);
		}
	}

	#advanceChange(engine: VirtualEngine): void {
		if (engine.changingUntil === 0 && engine.table.isIdle) {
			engine.changingUntil = this.now + roleChangeMilliseconds;
			engine.model.clear();
		}

		if (engine.changingUntil > 0 && this.now >= engine.changingUntil) {
			engine.model.role = engine.nextRole!;
			engine.table.targetState = {...engine.table.targetState, role: engine.model.role};
			engine.table.updateCapacity({kind: 'engine', ...engine.model.capacity});
			engine.changingUntil = 0;
			engine.nextRole = undefined;
			engine.table.handle({kind: 'return'}, this.now);
			this.#report(engine, hopMilliseconds);
		}
	}

	/** Sends a load report, which arrives late. */
	#report(engine: VirtualEngine, lag: number): void {
		engine.reportedAt = this.now;
		const load = engine.table.load(this.now);
		this.#later(lag, () => {
			for (const directory of this.#directories) {
				directory.recordLoad(engine.name, load, this.now);
				directory.setLeaving(engine.name, load.leaving);
			}
		});
	}
}
