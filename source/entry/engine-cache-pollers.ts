/**
Runs a cache poller for each engine that this gateway owns.
*/
import {engineOwner} from '../decisions/entry/prompts/engine-owner.js';
import type {Gateway} from '../decisions/load/gateway.js';
import {ownerCandidates} from '../decisions/load/owner-candidates.js';
import type {TargetRecord} from '../fleet/target-record.js';
import {EngineCachePoller} from './engine-cache-poller.js';
import type {EntryContext} from './entry-context.js';

/**
Invariant: after each update there is one poller for each usable engine that this gateway owns, and no other.

@example
```
pollers.update(targetRegistry.all(), {name: 'gateway-1', availabilityZone: 'zone-a'}, peers.members);
```
*/
export class EngineCachePollers {
	readonly #context: EntryContext;
	readonly #pollers = new Map<string, EngineCachePoller>();

	constructor(context: EntryContext) {
		this.#context = context;
	}

	/** Incarnations of the engines that are polled. */
	get engines(): readonly string[] {
		return [...this.#pollers.keys()];
	}

	/** Starts and stops pollers after a change of the targets or the peers. */
	update(records: readonly TargetRecord[], own: Gateway, peers: readonly Gateway[]): void {
		const engines = new Map(records
			.filter(record => record.role !== undefined && this.#context.targetRegistry.isUsable(record))
			.map(record => [record.incarnation, record]));
		const gateways = [own, ...peers];
		const ownedEngines = new Set([...engines]
			.filter(([engine, {availabilityZone}]) => engineOwner(engine, ownerCandidates(gateways, availabilityZone)) === own.name)
			.map(([engine]) => engine));
		for (const [incarnation, poller] of this.#pollers) {
			if (!ownedEngines.has(incarnation)) {
				poller.stop();
				this.#pollers.delete(incarnation);
			}
		}

		for (const incarnation of ownedEngines) {
			if (!this.#pollers.has(incarnation)) {
				const poller = new EngineCachePoller(this.#context, engines.get(incarnation)!);
				this.#pollers.set(incarnation, poller);
				poller.start();
			}
		}
	}

	stop(): void {
		for (const poller of this.#pollers.values()) {
			poller.stop();
		}

		this.#pollers.clear();
	}
}
