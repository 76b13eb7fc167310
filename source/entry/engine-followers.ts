/**
Follows the engines that fall to this gateway.
*/
import {engineOwner} from '../decisions/entry/engine-owner.js';
import type {TargetRecord} from '../fleet/target-record.js';
import {EngineFollower} from './engine-follower.js';
import type {EntryContext} from './entry-context.js';

/**
Invariant: one follower for each usable engine that falls to this gateway, none else.

@example
```
followers.update(beliefs.all(), 'gateway-1', peers.names);
```
*/
export class EngineFollowers {
	readonly #context: EntryContext;
	readonly #followers = new Map<string, EngineFollower>();

	constructor(context: EntryContext) {
		this.#context = context;
	}

	/** Incarnations that are followed here. */
	get engines(): readonly string[] {
		return [...this.#followers.keys()];
	}

	/** Starts and stops followers as targets and gateways come and go. */
	update(records: readonly TargetRecord[], own: string, peers: readonly string[]): void {
		const engines = new Map(records
			.filter(record => record.role !== undefined && this.#context.beliefs.isUsable(record))
			.map(record => [record.incarnation, record]));
		const wanted = new Set([...engines.keys()].filter(engine => engineOwner(engine, [own, ...peers]) === own));
		for (const [incarnation, follower] of this.#followers) {
			if (!wanted.has(incarnation)) {
				follower.stop();
				this.#followers.delete(incarnation);
			}
		}

		for (const incarnation of wanted) {
			if (!this.#followers.has(incarnation)) {
				const follower = new EngineFollower(this.#context, engines.get(incarnation)!);
				this.#followers.set(incarnation, follower);
				follower.start();
			}
		}
	}

	stop(): void {
		for (const follower of this.#followers.values()) {
			follower.stop();
		}

		this.#followers.clear();
	}
}
