/**
The platform's store in virtual time: targets' entries, with callers that it
turns away or does not answer.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import type {FleetConfiguration} from '../../source/fleet/fleet-configuration.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {FleetStore} from '../../source/ports/fleet-store.js';
import type {StoreError} from '../../source/ports/store-error.js';
import type {StoreFault} from './store-fault.js';
import type {VirtualTime} from './virtual-time.js';

type Caller = {
	/** What happens to a call of this caller that reaches the store now. */
	readonly fault: () => StoreFault;
	/** One way, in milliseconds, without what the store itself takes. */
	readonly way: () => number;
};

const callMilliseconds = 700;
const answerMilliseconds = 4;

const configuration: FleetConfiguration = {
	version: 1,
	routes: [],
	services: [{name: 's', mostConnections: 100, engine: undefined}],
	limits: {
		headerBytes: 16_384, bodyBytes: 100_000, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
};

/**
Invariant: a list holds what the store held at one moment between the call and its answer.

@example
```
const store = new VirtualStore(time);
store.put(record);
const list = await store.port({fault: () => 'none', way: () => 1}).listTargets();
```
*/
export class VirtualStore {
	/** Rises when the store comes back from an older copy. */
	era = 1;
	revision = 1;
	/** Time that the store takes for an answer beyond the usual. */
	slowMilliseconds = 0;
	/** Until when it answers nobody. */
	awayUntil = 0;
	readonly #time: VirtualTime;
	#targets = new Map<string, TargetRecord>();
	#crashReport: string | undefined;

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	get targets(): ReadonlyMap<string, TargetRecord> {
		return this.#targets;
	}

	put(record: TargetRecord): void {
		this.revision++;
		this.#targets.set(record.id, record);
	}

	remove(id: string): void {
		if (this.#targets.delete(id)) {
			this.revision++;
		}
	}

	/** What the store holds now, for `restore`. */
	copy(): {readonly revision: number; readonly targets: ReadonlyMap<string, TargetRecord>; readonly crashReport: string | undefined} {
		return {revision: this.revision, targets: new Map(this.#targets), crashReport: this.#crashReport};
	}

	/** Comes back from a copy: what was written since is gone, and revisions are given out again. */
	restore({revision, targets, crashReport}: ReturnType<VirtualStore['copy']>): void {
		this.revision = revision;
		this.#targets = new Map(targets);
		this.#crashReport = crashReport;
		this.era++;
	}

	/** The store as one caller sees it. */
	port(caller: Caller): FleetStore {
		return {
			readConfiguration: async () => this.#call(caller, () => ({configuration: option.some(configuration), era: this.era})),
			listTargets: async () => this.#call(caller, () => ({list: {era: this.era, revision: this.revision, targets: [...this.#targets.values()]}, unreadable: 0})),
			readCrashReport: async () => this.#call(caller, () => option.fromNullable(this.#crashReport)),
			writeCrashReport: async text => this.#call(caller, () => {
				this.#crashReport = text;
			}),
			close: async () => undefined,
		};
	}

	async #call<Answer>(caller: Caller, read: () => Answer): Promise<Result<Answer, StoreError>> {
		return new Promise(resolve => {
			const cancel = this.#time.after(callMilliseconds, () => {
				resolve(err({kind: 'unknown', detail: 'no answer'}));
			});
			this.#time.after(caller.way(), () => {
				const fault = this.awayUntil > this.#time.now ? 'busy' : caller.fault();
				if (fault === 'silent') {
					return;
				}

				const answer = read();
				this.#time.after(answerMilliseconds + this.slowMilliseconds + caller.way(), () => {
					cancel();
					resolve(fault === 'none' ? ok(answer) : err({kind: 'did not happen', detail: 'status 503'}));
				});
			});
		});
	}
}
