/**
Prompts that wait at this gateway until an engine has room for them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PromptPlacement} from '../decisions/entry/prompt-placement.js';
import type {EngineView} from '../decisions/entry/engine-view.js';
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

type QueueContext = Parameters<typeof promptQueue.next>[1];

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
		const {views, record} = engineViews(this.#context, service);
		if (views.some(({role}) => role === 'decode')) {
			this.#placeAll(service, queue, views, record);
		} else {
			for (const prompt of queue.keys()) {
				this.#decide(queue, prompt, {kind: 'no engine'});
			}
		}

		this.#wake();
	}

	/** Places prompts until those that are left have to wait; what is placed counts for the next. */
	#placeAll(service: string, queue: Map<WaitingPrompt, Entry>, views: readonly EngineView[], record: (id: string) => TargetRecord): void {
		const now = this.#context.now();
		const common = this.#queueContext(service, views, record, now);
		let engines = views;
		while (queue.size > 0) {
			const context = {...common, engines};
			const chosen = promptQueue.next([...queue.keys()], context, now);
			if (option.isNone(chosen)) {
				this.#turnAwayHopeless(queue, context, now);
				return;
			}

			const {prompt, placement, lane} = chosen.value;
			const {engine, fetchFrom, readMilliseconds} = placement;
			engines = engines.map(view => view.id === engine.id ? {...view, attempts: view.attempts + 1, readMilliseconds: view.readMilliseconds + readMilliseconds} : view);
			this.#decide(queue, prompt, {
				kind: 'placed',
				placement,
				lane,
				target: record(engine.id),
				fetchFrom: fetchFrom === undefined ? undefined : record(fetchFrom.id),
				entry: this.#context.book.add(engine.id, readMilliseconds),
			});
			if (readMilliseconds >= longReadMilliseconds) {
				this.#onPlaced();
			}
		}
	}

	#turnAwayHopeless(queue: Map<WaitingPrompt, Entry>, context: QueueContext, now: number): void {
		for (const {prompt, waitMilliseconds} of promptQueue.hopeless([...queue.keys()], context, this.#context.gateways(), now)) {
			this.#decide(queue, prompt, {kind: 'hopeless', waitMilliseconds});
		}
	}

	/** What one look needs beside the engines' load; beliefs are asked once for each prompt and engine. */
	#queueContext(service: string, views: readonly EngineView[], record: (id: string) => TargetRecord, now: number): Omit<QueueContext, 'engines'> {
		const engine = this.#context.service(service)?.engine;
		const {cacheTokens = 0, bytesPerToken = 0, linkMegabitsPerSecond = 1} = engine ?? {};
		const known = new Map<WaitingPrompt, Map<string, number>>();
		return {
			reading: promptQueue.readingMakers(views),
			availabilityZone: this.#context.settings().availabilityZone,
			bytesPerToken,
			linkMegabitsPerSecond,
			kept: (prompt, id) => {
				const byEngine = known.get(prompt) ?? new Map<string, number>();
				known.set(prompt, byEngine);
				const kept = byEngine.get(id) ?? this.#context.kept.tokens(record(id).incarnation, prompt.sharedParts, {cacheTokens, now});
				byEngine.set(id, kept);
				return kept;
			},
		};
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
