/**
Prompts that wait at this gateway until an engine has room for them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PromptPlacement} from '../decisions/entry/prompt-placement.js';
import type {EngineView} from '../decisions/entry/engine-view.js';
import {promptQueue} from '../decisions/entry/prompt-queue.js';
import {announcedPrefillMilliseconds} from '../decisions/entry/announced-prefill-milliseconds.js';
import type {WaitingPrompt} from '../decisions/entry/waiting-prompt.js';
import type {TargetRecord} from '../fleet/target-record.js';
import {targetViews} from './target-views.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';
import type {ReadGrants} from './read-grants.js';

type PlacedVerdict = {
	readonly kind: 'placed';
	readonly placement: PromptPlacement;
	/** Whether its first event can be on time. */
	readonly lane: 'onTime' | 'late';
	readonly target: TargetRecord;
	readonly fetchFrom: TargetRecord | undefined;
	/** Reserved in the load book; whoever takes the verdict removes it. */
	readonly entry: LoadEntry;
	/** What the gateway that speaks for the engine said, and how often others had denied it before. */
	readonly grant: 'own' | 'granted' | 'no answer';
	readonly denials: number;
};

type Verdict =
	| PlacedVerdict
	| {readonly kind: 'no engine'}
	| {readonly kind: 'hopeless'; readonly waitMilliseconds: number};

type QueueContext = Parameters<typeof promptQueue.next>[1];

type Choice = Extract<ReturnType<typeof promptQueue.next>, {readonly _tag: 'Some'}>['value'];

type GrantVerdict = Parameters<Parameters<ReadGrants['ask']>[2]>[0];

type Entry = {readonly prompt: WaitingPrompt; readonly decide: (verdict: Verdict) => void; readonly denials: number};

/** Pause between two looks at a queue, as a look costs as much for one prompt as for many. */
const lookMilliseconds = 8;

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
	readonly #grants: ReadGrants;
	/** Prompts whose engine's keeper has been asked. */
	readonly #asked = new Set<WaitingPrompt>();
	#timer: NodeJS.Timeout | undefined;

	/** `onPlaced` is called after a long prompt was placed, so that peers hear of it. */
	constructor(context: EntryContext, grants: ReadGrants, onPlaced: () => void) {
		this.#context = context;
		this.#grants = grants;
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
		queue.set(prompt, {prompt, decide, denials: 0});
		if (queue.size === 1) {
			this.#look(service, queue);
		} else {
			this.#wake();
		}

		return () => {
			queue.delete(prompt);
			this.#asked.delete(prompt);
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
		const {views, record} = targetViews(this.#context, service);
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

			const {engine, readMilliseconds} = chosen.value.placement;
			engines = engines.map(view => view.id === engine.id ? {...view, attempts: view.attempts + 1, readMilliseconds: view.readMilliseconds + readMilliseconds} : view);
			this.#send(queue, chosen.value, record);
		}
	}

	/** Sends a prompt off; a long one only after the gateway that speaks for its engine was asked. */
	#send(queue: Map<WaitingPrompt, Entry>, {prompt, placement, lane}: Choice, record: (id: string) => TargetRecord): void {
		const {engine, fetchFrom, readMilliseconds} = placement;
		const target = record(engine.id);
		const entry = this.#context.book.add(engine.id, readMilliseconds);
		const waiting = queue.get(prompt)!;
		queue.delete(prompt);
		const go = (grant: PlacedVerdict['grant']): void => {
			waiting.decide({
				kind: 'placed', placement, lane, target, fetchFrom: fetchFrom === undefined ? undefined : record(fetchFrom.id), entry, grant, denials: waiting.denials,
			});
			if (readMilliseconds >= announcedPrefillMilliseconds) {
				this.#onPlaced();
			}
		};

		const keeper = readMilliseconds < announcedPrefillMilliseconds ? undefined : this.#grants.keeperOf(target);
		if (keeper === undefined) {
			go('own');
			return;
		}

		this.#asked.add(prompt);
		this.#grants.ask(keeper, {
			target, lane, readMilliseconds, assumedMilliseconds: engine.readMilliseconds,
		}, verdict => {
			this.#onVerdict(queue, waiting, entry, verdict, go);
		});
	}

	#onVerdict(queue: Map<WaitingPrompt, Entry>, waiting: Entry, entry: LoadEntry, verdict: GrantVerdict, go: (grant: PlacedVerdict['grant']) => void): void {
		const {book} = this.#context;
		const isWanted = this.#asked.delete(waiting.prompt);
		if (verdict === 'denied') {
			book.cancel(entry);
			if (isWanted) {
				queue.set(waiting.prompt, {...waiting, denials: waiting.denials + 1});
				this.#wake();
			}
		} else if (isWanted) {
			go(verdict);
		} else {
			book.remove(entry);
		}
	}

	#turnAwayHopeless(queue: Map<WaitingPrompt, Entry>, context: QueueContext, now: number): void {
		for (const {prompt, waitMilliseconds} of promptQueue.unservable([...queue.keys()], context, this.#context.gateways(), now)) {
			this.#decide(queue, prompt, {kind: 'hopeless', waitMilliseconds});
		}
	}

	/** What one look needs beside the engines' load; beliefs are asked once for each prompt and engine. */
	#queueContext(service: string, views: readonly EngineView[], record: (id: string) => TargetRecord, now: number): Omit<QueueContext, 'engines'> {
		const engine = this.#context.service(service)?.engine;
		const {cacheTokens = 0, bytesPerToken = 0, linkMegabitsPerSecond = 1} = engine ?? {};
		const known = new Map<WaitingPrompt, Map<string, number>>();
		return {
			inPlaceEngines: promptQueue.selectInPlaceEngines(views),
			availabilityZone: this.#context.settings().availabilityZone,
			bytesPerToken,
			linkMegabitsPerSecond,
			cachedTokens: (prompt, id) => {
				const byEngine = known.get(prompt) ?? new Map<string, number>();
				known.set(prompt, byEngine);
				const kept = byEngine.get(id) ?? this.#context.kept.cachedTokens(record(id).incarnation, prompt.sharedParts, {cacheTokens, now});
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
