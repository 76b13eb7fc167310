/**
Prompts that wait at this gateway until an engine has room for them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PromptPlacement} from '../decisions/entry/prompt-placement.js';
import {promptQueue} from '../decisions/entry/prompt-queue.js';
import type {WaitingPrompt} from '../decisions/entry/waiting-prompt.js';
import type {TargetRecord} from '../fleet/target-record.js';
import {engineViews} from './engine-views.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';

type PlacedVerdict = {
	readonly kind: 'placed';
	readonly placement: PromptPlacement;
	/** Whether its first event can be on time. */
	readonly lane: 'onTime' | 'late';
	readonly target: TargetRecord;
	readonly fetchFrom: TargetRecord | undefined;
	/** Reserved in the load book; whoever takes the verdict removes it. */
	readonly entry: LoadEntry;
};

type Verdict =
	| PlacedVerdict
	| {readonly kind: 'no engine'}
	| {readonly kind: 'hopeless'; readonly waitMilliseconds: number};

type Entry = {readonly prompt: WaitingPrompt; readonly decide: (verdict: Verdict) => void};

/** Pause between two looks at a queue, as a look costs as much for one prompt as for many. */
const lookMilliseconds = 8;
/** Reading from which peers are told at once. */
const longReadMilliseconds = 20;

/**
One queue a service. A prompt leaves it by one verdict, or when it is withdrawn.

Invariant: `decide` of an entry is called at most once, and never after it was withdrawn.

@example
```
const withdraw = queues.wait('appraiser-models', prompt, verdict => send(verdict));
```
*/
export class PromptQueues {
	readonly #context: EntryContext;
	readonly #queues = new Map<string, Map<WaitingPrompt, Entry>>();
	readonly #onPlaced: () => void;
	#timer: NodeJS.Timeout | undefined;

	/** `onPlaced` is called after a long prompt was placed, so that peers hear of it. */
	constructor(context: EntryContext, onPlaced: () => void) {
		this.#context = context;
		this.#onPlaced = onPlaced;
	}

	/** Prompts that wait now. */
	get waiting(): number {
		return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0);
	}

	/** Adds a prompt; gives a function that withdraws it. */
	wait(service: string, prompt: WaitingPrompt, decide: (verdict: Verdict) => void): () => void {
		const queue = this.#queues.get(service) ?? new Map<WaitingPrompt, Entry>();
		this.#queues.set(service, queue);
		queue.set(prompt, {prompt, decide});
		if (queue.size === 1) {
			this.#look(service, queue);
		} else {
			this.#wake();
		}

		return () => {
			queue.delete(prompt);
		};
	}

	/** Looks at all queues soon, as when an engine has become free. */
	lookSoon(): void {
		this.#wake();
	}

	#lookAll(): void {
		for (const [service, queue] of this.#queues) {
			if (queue.size > 0) {
				this.#look(service, queue);
			}
		}
	}

	#look(service: string, queue: Map<WaitingPrompt, Entry>): void {
		while (queue.size > 0 && this.#placeOne(service, queue)) {
			// Each round decides on one prompt.
		}

		this.#wake();
	}

	/** Decides on one prompt; true when there may be more to decide. */
	#placeOne(service: string, queue: Map<WaitingPrompt, Entry>): boolean {
		const {views, record} = engineViews(this.#context, service);
		if (!views.some(({role}) => role === 'decode')) {
			for (const prompt of queue.keys()) {
				this.#decide(queue, prompt, {kind: 'no engine'});
			}

			return false;
		}

		const now = this.#context.now();
		const engine = this.#context.service(service)?.engine;
		const context = {
			engines: views,
			availabilityZone: this.#context.settings().availabilityZone,
			bytesPerToken: engine?.bytesPerToken ?? 0,
			linkMegabitsPerSecond: engine?.linkMegabitsPerSecond ?? 1,
			keepers: (key: string) => this.#keepers(key, views.map(({id}) => record(id)), engine?.cacheTokens ?? 0),
		};
		const chosen = promptQueue.next([...queue.keys()], context, now);
		if (option.isNone(chosen)) {
			for (const {prompt, waitMilliseconds} of promptQueue.hopeless([...queue.keys()], context, this.#context.gateways(), now)) {
				this.#decide(queue, prompt, {kind: 'hopeless', waitMilliseconds});
			}

			return false;
		}

		const {prompt, placement, lane} = chosen.value;
		this.#decide(queue, prompt, {
			kind: 'placed',
			placement,
			lane,
			target: record(placement.engine.id),
			fetchFrom: placement.fetchFrom === undefined ? undefined : record(placement.fetchFrom.id),
			entry: this.#context.book.add(placement.engine.id, placement.readMilliseconds),
		});
		if (placement.readMilliseconds >= longReadMilliseconds) {
			this.#onPlaced();
		}

		return true;
	}

	#keepers(key: string, records: readonly TargetRecord[], cacheTokens: number): ReadonlySet<string> {
		const incarnations = new Set(this.#context.kept.keepers(key, cacheTokens));
		return new Set(records.filter(({incarnation}) => incarnations.has(incarnation)).map(({id}) => id));
	}

	#decide(queue: Map<WaitingPrompt, Entry>, prompt: WaitingPrompt, verdict: Verdict): void {
		const entry = queue.get(prompt);
		queue.delete(prompt);
		entry?.decide(verdict);
	}

	/** Looks again soon while something waits. */
	#wake(): void {
		if (this.#timer !== undefined || this.waiting === 0) {
			return;
		}

		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#lookAll();
		}, lookMilliseconds);
	}
}
