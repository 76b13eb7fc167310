/**
Queues the prompts that wait at this gateway until an engine has capacity for them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {PromptPlacement} from '../decisions/entry/prompts/prompt-placement.js';
import type {EngineView} from '../decisions/entry/prompts/engine-view.js';
import {queuePassPause} from '../decisions/entry/prompts/queue-pass-pause.js';
import {promptQueue} from '../decisions/entry/prompts/prompt-queue.js';
import {announcedPrefillMilliseconds} from '../decisions/entry/prompts/announced-prefill-milliseconds.js';
import type {WaitingPrompt} from '../decisions/entry/prompts/waiting-prompt.js';
import type {TargetRecord} from '../fleet/target-record.js';
import {targetViews} from './target-views.js';
import {wantPermits} from './want-permits.js';
import type {EntryContext} from './entry-context.js';
import type {LoadEntry} from './load-entry.js';
import type {PrefillGrants} from './prefill-grants.js';

type PlacedVerdict = {
	readonly kind: 'placed';
	readonly placement: PromptPlacement;
	/** Whether its first event can be on time. */
	readonly lane: 'onTime' | 'late';
	readonly target: TargetRecord;
	readonly fetchFrom: TargetRecord | undefined;
	/** Already added to the load tracker; the receiver of the verdict removes it. */
	readonly entry: LoadEntry;
	/** How the placement was granted ('own': no other gateway was asked), and how many grants were denied before. */
	readonly grant: 'own' | 'granted' | 'no answer';
	readonly denials: number;
};

type Verdict =
	| PlacedVerdict
	| {readonly kind: 'no engine'}
	| {readonly kind: 'quarantined'}
	/** `isSpread`: the waiting times of several such prompts are spread already. */
	| {readonly kind: 'hopeless'; readonly waitMilliseconds: number; readonly isSpread: boolean};

type QueueOrder = ReturnType<typeof promptQueue.order>;

type QueueContext = Parameters<typeof promptQueue.next>[1];

type Choice = Extract<ReturnType<typeof promptQueue.next>, {readonly _tag: 'Some'}>['value'];

type GrantVerdict = Parameters<Parameters<PrefillGrants['ask']>[2]>[0];

type Entry = {
	readonly prompt: WaitingPrompt;
	readonly decide: (verdict: Verdict) => void;
	readonly denials: number;
	/** State of the quarantine for which the prompt was last checked. */
	checkedChanges: number;
};

/** What the time of the prefill is measured by; none for a prompt whose cached parts are fetched, as that takes a time of its own. */
const prefillWork = ({tokens}: WaitingPrompt, {cachedTokens, readMilliseconds, engine, fetchFrom}: PromptPlacement): LoadEntry['prefill'] => fetchFrom === undefined
	? {
		uncachedTokens: Math.max(1, tokens - cachedTokens), cachedTokens, estimatedMilliseconds: readMilliseconds, backlogMilliseconds: engine.readMilliseconds,
	}
	: undefined;

/**
Holds one queue for each service. A prompt leaves its queue with a verdict, or when it is withdrawn.

Invariant: `decide` of an entry is called at most once, and never after the entry was withdrawn.

@example
```
const withdraw = queues.enqueue('appraiser-models', prompt, verdict => send(verdict));
```
*/
export class PromptQueues {
	readonly #context: EntryContext;
	readonly #queues = new Map<string, Map<WaitingPrompt, Entry>>();
	readonly #onPlaced: () => void;
	readonly #grants: PrefillGrants;
	/** Prompts for which the engine's owner gateway was asked and has not answered yet. */
	readonly #awaitingGrant = new Set<WaitingPrompt>();
	#cancelNextPass: (() => void) | undefined;
	/** How long the last pass over a queue took. */
	#passMilliseconds = 0;

	/** `onPlaced` is called after a long prompt was placed, so that peers are informed. */
	constructor(context: EntryContext, grants: PrefillGrants, onPlaced: () => void) {
		this.#context = context;
		this.#grants = grants;
		this.#onPlaced = onPlaced;
	}

	/** Number of prompts in all queues. */
	get waitingCount(): number {
		return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0);
	}

	/** Adds a prompt and returns a function that withdraws it. */
	enqueue(service: string, prompt: WaitingPrompt, decide: (verdict: Verdict) => void): () => void {
		const queue = this.#queues.get(service) ?? new Map<WaitingPrompt, Entry>();
		this.#queues.set(service, queue);
		queue.set(prompt, {
			prompt, decide, denials: 0, checkedChanges: this.#context.quarantine.changes,
		});
		wantPermits(this.#context, service);
		if (queue.size === 1) {
			this.#process(service, queue);
		} else {
			this.#startTimer();
		}

		return () => {
			const isWaiting = queue.delete(prompt);
			if (this.#awaitingGrant.delete(prompt) || isWaiting) {
				this.#context.fairness.recordRefused(service, prompt);
			}
		};
	}

	/** Processes all queues after a short delay, for example when an engine has become free. */
	processSoon(): void {
		this.#startTimer();
	}

	#processAll(): void {
		for (const [service, queue] of this.#queues) {
			if (queue.size > 0) {
				this.#process(service, queue);
			}
		}
	}

	#process(service: string, queue: Map<WaitingPrompt, Entry>): void {
		const {activity, now} = this.#context;
		const startedAt = now();
		activity.measure('prompt queue', queue.size, () => {
			this.#placeOrReject(service, queue);
		});
		this.#passMilliseconds = now() - startedAt;
		this.#startTimer();
	}

	#placeOrReject(service: string, queue: Map<WaitingPrompt, Entry>): void {
		this.#rejectQuarantined(queue);
		const {views, record} = targetViews(this.#context, service);
		if (views.some(({role}) => role === 'decode')) {
			this.#placeAll(service, queue, views, record);
		} else {
			for (const prompt of queue.keys()) {
				this.#decide(queue, prompt, {kind: 'no engine'});
			}
		}
	}

	/** Rejects the waiting prompts that were quarantined after they arrived. */
	#rejectQuarantined(queue: Map<WaitingPrompt, Entry>): void {
		const {quarantine} = this.#context;
		const held = [...queue.values()].filter(({checkedChanges, prompt: {id, sharedParts}}) => checkedChanges !== quarantine.changes
			&& quarantine.check(id, sharedParts.map(part => part.id)) !== undefined);
		for (const {prompt} of held) {
			this.#decide(queue, prompt, {kind: 'quarantined'});
		}

		for (const entry of queue.values()) {
			entry.checkedChanges = quarantine.changes;
		}
	}

	/** Places prompts until the remaining ones have to wait. Each placement adds to the engine's load for the next choice. */
	#placeAll(service: string, queue: Map<WaitingPrompt, Entry>, views: readonly EngineView[], record: (id: string) => TargetRecord): void {
		const now = this.#context.now();
		const sharedContext = this.#queueContext(service, views, record, now);
		let engines = views;
		const waiting = [...queue.keys()];
		let order = promptQueue.order(waiting, now, this.#context.fairness.ranks(service, waiting));
		while (queue.size > 0) {
			const context = {...sharedContext, engines};
			const chosen = promptQueue.next(order, context, now);
			if (option.isNone(chosen)) {
				this.#rejectUnservable(service, queue, order, context, now);
				this.#wantForWaiting(queue, views, record);
				return;
			}

			order = promptQueue.without(order, chosen.value.prompt);
			const {engine, readMilliseconds} = chosen.value.placement;
			engines = engines.map(view => view.id === engine.id
				? {
					...view, attempts: view.attempts + 1, readMilliseconds: view.readMilliseconds + readMilliseconds, permits: view.permits === undefined ? undefined : view.permits - 1,
				}
				: view);
			this.#send(service, queue, chosen.value, record);
		}
	}

	/** Asks for permits again while prompts wait: what they wanted at first may have been used by others. */
	#wantForWaiting(queue: Map<WaitingPrompt, Entry>, views: readonly EngineView[], record: (id: string) => TargetRecord): void {
		const {rateLimits} = this.#context;
		if (queue.size > 0 && rateLimits.hasLimits) {
			rateLimits.wantForWaiting(views.map(({id}) => record(id).incarnation));
		}
	}

	/** Places a prompt at its engine; a long one only after the engine's owner gateway was asked. */
	#send(service: string, queue: Map<WaitingPrompt, Entry>, {prompt, placement, lane, rank}: Choice, record: (id: string) => TargetRecord): void {
		const {engine, fetchFrom, readMilliseconds} = placement;
		const target = record(engine.id);
		// The engine has one, as it has capacity.
		this.#context.rateLimits.tryTake(target.incarnation);
		const entry = this.#context.loadTracker.add(engine.id, readMilliseconds, prefillWork(prompt, placement));
		const waiting = queue.get(prompt)!;
		queue.delete(prompt);
		const place = (grant: PlacedVerdict['grant']): void => {
			this.#context.fairness.recordPlaced(service, prompt, readMilliseconds, rank);
			waiting.decide({
				kind: 'placed', placement, lane, target, fetchFrom: fetchFrom === undefined ? undefined : record(fetchFrom.id), entry, grant, denials: waiting.denials,
			});
			if (readMilliseconds >= announcedPrefillMilliseconds) {
				this.#onPlaced();
			}
		};

		const owner = readMilliseconds < announcedPrefillMilliseconds ? undefined : this.#grants.ownerOf(target);
		if (owner === undefined) {
			place('own');
			return;
		}

		this.#awaitingGrant.add(prompt);
		this.#grants.ask(owner, {
			target, lane, readMilliseconds, assumedMilliseconds: engine.readMilliseconds,
		}, verdict => {
			this.#onVerdict(queue, waiting, entry, verdict, place);
		});
	}

	#onVerdict(queue: Map<WaitingPrompt, Entry>, waiting: Entry, entry: LoadEntry, verdict: GrantVerdict, place: (grant: PlacedVerdict['grant']) => void): void {
		const {loadTracker} = this.#context;
		const isStillWaiting = this.#awaitingGrant.delete(waiting.prompt);
		if (verdict === 'denied') {
			loadTracker.cancel(entry);
			if (isStillWaiting) {
				queue.set(waiting.prompt, {...waiting, denials: waiting.denials + 1});
				this.#startTimer();
			}
		} else if (isStillWaiting) {
			place(verdict);
		} else {
			loadTracker.remove(entry);
		}
	}

	#rejectUnservable(service: string, queue: Map<WaitingPrompt, Entry>, order: QueueOrder, context: QueueContext, now: number): void {
		const {fairness, gatewayCount} = this.#context;
		for (const {prompt, ...hopeless} of promptQueue.unservable(order, context, gatewayCount(), now)) {
			fairness.recordRefused(service, prompt);
			this.#decide(queue, prompt, {kind: 'hopeless', waitMilliseconds: fairness.returnDelay(service, prompt, hopeless), isSpread: order.ranks !== undefined});
		}
	}

	/** The context of one pass, except for the engines' load. The prefix cache index is queried once for each engine and combination of shared parts. */
	#queueContext(service: string, views: readonly EngineView[], record: (id: string) => TargetRecord, now: number): Omit<QueueContext, 'engines'> {
		const engine = this.#context.service(service)?.engine;
		const {cacheTokens = 0, bytesPerToken = 0, linkMegabitsPerSecond = 1} = engine ?? {};
		const cachedTokensByParts = new Map<string, Map<string, number>>();
		return {
			inPlaceEngines: promptQueue.selectInPlaceEngines(views),
			availabilityZone: this.#context.settings().availabilityZone,
			bytesPerToken,
			linkMegabitsPerSecond,
			rates: this.#context.capacity.rates(service, now),
			cachedTokens: (prompt, id) => {
				const byEngine = cachedTokensByParts.get(prompt.sharedKey) ?? new Map<string, number>();
				cachedTokensByParts.set(prompt.sharedKey, byEngine);
				const cachedTokens = byEngine.get(id) ?? this.#context.prefixCache.cachedTokens(record(id).incarnation, prompt.sharedParts, {cacheTokens, now});
				byEngine.set(id, cachedTokens);
				return cachedTokens;
			},
		};
	}

	#decide(queue: Map<WaitingPrompt, Entry>, prompt: WaitingPrompt, verdict: Verdict): void {
		const entry = queue.get(prompt);
		queue.delete(prompt);
		entry?.decide(verdict);
	}

	/** Schedules the next pass while prompts are waiting. */
	#startTimer(): void {
		if (this.#cancelNextPass !== undefined || this.waitingCount === 0) {
			return;
		}

		this.#cancelNextPass = this.#context.timers.after(queuePassPause(this.#passMilliseconds), () => {
			this.#cancelNextPass = undefined;
			this.#processAll();
		});
	}
}
