/**
Relays one inference request to engines.

The prompt is prefilled either at a prefill engine, from which a decode engine fetches the
KV cache, or at the decode engine itself.
*/
import * as option from 'fp-ts/lib/Option.js';
import {engineRank} from '../decisions/entry/prompts/engine-rank.js';
import {placeDecode} from '../decisions/entry/prompts/place-decode.js';
import {sharedPrefix} from '../decisions/entry/prompts/shared-prefix.js';
import type {EngineView} from '../decisions/entry/prompts/engine-view.js';
import {resultCode} from '../generated/result-codes.js';
import type {SendInstructions} from '../fleet/send-instructions.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import {targetListStatus} from './target-list-status.js';
import {targetViews} from './target-views.js';
import {wantPermits} from './want-permits.js';
import type {LoadEntry} from './load-entry.js';
import {placedFacts} from './placed-facts.js';
import type {PromptQueues} from './prompt-queues.js';
import type {AttemptSender} from './attempt-sender.js';
import {awaitPermits} from './await-permits.js';
import type {CallerRequest} from './caller-request.js';
import {createWaitingPrompt} from './create-waiting-prompt.js';
import type {EntryContext} from './entry-context.js';
import {QuarantineGate} from './quarantine-gate.js';
import {RequestLifecycle} from './request-lifecycle.js';
import {StreamAnswer} from './stream-answer.js';

type Verdict = Parameters<Parameters<PromptQueues['enqueue']>[2]>[0];

type Handle = {readonly engine: TargetRecord; readonly id: string};

/** How often a prefilled prompt waits for permits of decode engines before it is refused: half a second in all. */
const maxPermitWaits = 20;
/** Time beyond a multiple of the estimate after which an answer is overdue. */
const overdueMarginMilliseconds = 1200;

/**
One instance a request. Selects engines and sends attempts.

@example
```
await new StreamRelay(request, context, sender, queues).run();
```
*/
export class StreamRelay {
	#hasLiveAttempt = false;
	readonly #request: CallerRequest;
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #lifecycle: RequestLifecycle;
	readonly #gate: QuarantineGate;
	readonly #assembly: StreamAnswer;
	#handle: Handle | undefined;
	#handleAttempts = 0;
	#lane: 'onTime' | 'late' = 'onTime';
	readonly #queues: PromptQueues;
	readonly #sharedPrefix: ReturnType<typeof sharedPrefix>;
	/** Tokens that the prefix cache of an engine has room for. */
	readonly #cacheTokens: number;

	constructor(request: CallerRequest, context: EntryContext, sender: AttemptSender, queues: PromptQueues) {
		this.#request = request;
		this.#context = context;
		this.#sender = sender;
		this.#queues = queues;
		this.#sharedPrefix = sharedPrefix(request.facts);
		this.#cacheTokens = context.service(request.service)?.engine?.cacheTokens ?? 0;
		this.#lifecycle = new RequestLifecycle(request, context, {isRepeatable: () => this.#assembly.isRepeatable, hasLiveAttempt: () => this.#hasLiveAttempt});
		this.#gate = new QuarantineGate(context, this.#lifecycle, this.#sharedPrefix.parts.map(({id}) => id));
		this.#assembly = new StreamAnswer(request, context, this.#lifecycle, this.#gate);
	}

	/** Relays the request; resolves once the caller has got its final answer. */
	async run(): Promise<void> {
		this.#lifecycle.begin();
		await this.#runAttempts();
		this.#releaseHandle();
	}

	async #runAttempts(): Promise<void> {
		if (this.#gate.refuseHeld()) {
			return;
		}

		const shouldContinue = this.#handle === undefined ? await this.#placePrompt() : await this.#decodeWithHandle(this.#handle);
		if (shouldContinue && !this.#lifecycle.isEnded) {
			await this.#runAttempts();
		}
	}

	/** Waits until an engine is selected for the prompt, and sends it there; true when another attempt is to be sent. */
	async #placePrompt(): Promise<boolean> {
		const verdict = await this.#waitForPlacement();
		switch (verdict.kind) {
			case 'placed': {
				return this.#sendPlaced(verdict);
			}

			case 'no engine': {
				this.#lifecycle.refuseWithoutTarget();
				return false;
			}

			case 'quarantined': {
				return !this.#gate.refuseHeld();
			}

			case 'hopeless': {
				this.#lifecycle.refuse(resultCode.deadlineUnreachable, verdict.waitMilliseconds, verdict.isSpread);
				return false;
			}

			case 'withdrawn': {
				return false;
			}
		}
	}

	async #waitForPlacement(): Promise<Verdict | {readonly kind: 'withdrawn'}> {
		const prompt = createWaitingPrompt(this.#request, this.#context, {
			sharedPrefix: this.#sharedPrefix,
			avoid: this.#lifecycle.avoid,
			isContinued: this.#assembly.lastEventId !== undefined,
			mayPrefillSeparately: () => this.#lifecycle.mayPrefillSeparately(),
		});
		return new Promise(resolve => {
			const withdraw = this.#queues.enqueue(this.#request.service, prompt, resolve);
			this.#lifecycle.setCancelAttempt(() => {
				withdraw();
				resolve({kind: 'withdrawn'});
			});
		});
	}

	async #sendPlaced(verdict: Extract<Verdict, {readonly kind: 'placed'}>): Promise<boolean> {
		const {placement: {way, latency}, lane, target, fetchFrom, entry} = verdict;
		if (this.#lifecycle.isEnded) {
			this.#context.loadTracker.remove(entry);
			return false;
		}

		this.#lane = lane;
		this.#recordCachedParts(target);
		this.#context.metrics.count(`placed.${way.replace(' ', '-')}`);
		this.#lifecycle.log.add('placed', {
			...placedFacts(verdict),
			sharedPart: this.#sharedPrefix.key,
			isKeptTold: this.#context.prefixCache.hasFreshReport(target.incarnation, this.#context.now()),
			...this.#context.fairness.facts(this.#request),
			...targetListStatus(this.#context),
		}, this.#context.now());
		return way === 'prefill first' ? this.#prefillPrompt(target, entry, latency, fetchFrom?.address) : this.#sendStream(target, entry, {fetchFrom: fetchFrom?.address}, true);
	}

	/** Records that an engine prefills or fetches this prompt, which puts its shared parts into the prefix cache. */
	#recordCachedParts(target: TargetRecord): void {
		const {parts} = this.#sharedPrefix;
		const {prefixCache, gatewayCount, now} = this.#context;
		const uncachedTokens = (this.#request.facts.prompt?.tokens ?? 0) - prefixCache.cachedTokens(target.incarnation, parts, {cacheTokens: this.#cacheTokens, now: now()});
		prefixCache.recordPrefill(target.incarnation, Math.max(0, uncachedTokens) * gatewayCount());
		prefixCache.recordSent(target.incarnation, parts, now());
	}

	#createInstructions(target: TargetRecord, parts: Partial<SendInstructions>): SendInstructions {
		return {
			targetId: target.id,
			remainingMilliseconds: this.#lifecycle.remaining,
			rank: engineRank(this.#lane, this.#request.urgency),
			isPrefillOnly: false,
			handle: undefined,
			fetchFrom: undefined,
			lastEventId: this.#assembly.lastEventId,
			...parts,
		};
	}

	/** Prefills the prompt at a prefill engine, which may be repeated safely; true when the request continues. */
	async #prefillPrompt(target: TargetRecord, entry: LoadEntry, latency: number, fetchFrom: string | undefined): Promise<boolean> {
		const {facts, method, path, body} = this.#request;
		const startedAt = this.#context.now();
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			isSentAhead: this.#request.isSentAhead,
			method,
			path,
			body,
			instructions: this.#createInstructions(target, {isPrefillOnly: true, fetchFrom}),
			readMilliseconds: entry.readMilliseconds,
			entry,
			hasPermit: true,
			expectedMilliseconds: latency * 2,
			answerDueMilliseconds: (latency * 2) + overdueMarginMilliseconds,
			mayStart: () => this.#gate.mayStartAttempt(),
		});
		this.#lifecycle.setCancelAttempt(cancel);
		const result = await outcome;
		const handle = this.#parseHandle(result, target);
		this.#context.metrics.record('prefill', this.#context.now() - startedAt);
		this.#lifecycle.log.add('prompt read', {target: target.id, outcome: result.kind, milliseconds: Math.round(this.#context.now() - startedAt)}, this.#context.now());
		if (option.isSome(handle)) {
			this.#lifecycle.recordAcceptedPrefill();
			this.#handle = handle.value;
			this.#handleAttempts = 0;
		}

		if (option.isSome(handle) || this.#lifecycle.isEnded) {
			return !this.#lifecycle.isEnded;
		}

		return result.kind === 'not sent' ? this.#handleUnsentAttempt(target, result) : this.#lifecycle.handleUnansweredAttempt(target, {kind: 'not run', isOtherTarget: false});
	}

	#parseHandle(result: AttemptOutcome, target: TargetRecord): option.Option<Handle> {
		if (result.kind !== 'answer' || result.facts.status !== 200) {
			return option.none;
		}

		const prefill = this.#context.protocol.readPrefill(result.body);
		return option.isNone(prefill) ? option.none : option.some({engine: target, id: prefill.value.id});
	}

	/** Selects a decode engine, which fetches the KV cache of the prompt and generates the answer. */
	async #decodeWithHandle(handle: Handle): Promise<boolean> {
		const found = await this.#findDecodeEngine(handle, maxPermitWaits);
		if (this.#lifecycle.isEnded) {
			return false;
		}

		if (option.isNone(found)) {
			this.#lifecycle.refuseWithoutTarget();
			return false;
		}

		const {target, view} = found.value;
		this.#handleAttempts++;
		this.#recordCachedParts(target);
		this.#lifecycle.log.add('tokens placed', {
			target: target.id, attempts: view.attempts, readMilliseconds: Math.round(view.readMilliseconds), speed: view.speed, ...targetListStatus(this.#context),
		}, this.#context.now());
		const shouldContinue = await this.#sendStream(target, this.#context.loadTracker.add(target.id, 0), {handle: {address: handle.engine.address, id: handle.id}});
		if (shouldContinue && this.#handleAttempts > 1) {
			// Two attempts with this handle were refused or not sent; it may be gone, so the prompt is prefilled again.
			this.#releaseHandle();
		}

		return shouldContinue;
	}

	/** Selects a decode engine. While the rate limits of all are used up, it waits for permits, as the prompt has been prefilled for nothing otherwise. */
	async #findDecodeEngine(handle: Handle, waits: number): Promise<option.Option<{readonly target: TargetRecord; readonly view: EngineView}>> {
		wantPermits(this.#context, this.#request.service);
		const {views, record} = targetViews(this.#context, this.#request.service);
		const chosen = placeDecode({
			engines: views, availabilityZone: this.#context.settings().availabilityZone, prefillZone: handle.engine.availabilityZone, bodyBytes: this.#request.body?.byteLength ?? 0, avoid: this.#lifecycle.avoid, rates: this.#context.capacity.rates(this.#request.service, this.#context.now()),
		});
		if (option.isSome(chosen)) {
			return option.some({target: record(chosen.value.id), view: chosen.value});
		}

		if (waits === 0 || !this.#context.rateLimits.hasLimits) {
			return option.none;
		}

		await awaitPermits(this.#context, this.#lifecycle);
		return this.#lifecycle.isEnded ? option.none : this.#findDecodeEngine(handle, waits - 1);
	}

	/** `hasPermit` is true when a permit was taken with the placement. */
	async #sendStream(target: TargetRecord, entry: LoadEntry, parts: Partial<SendInstructions>, hasPermit = false): Promise<boolean> {
		const {facts, method, path, body} = this.#request;
		// A slow engine is not silent while it prefills for longer than one of speed 1 would.
		const expectedMilliseconds = entry.readMilliseconds * 4 / Math.min(1, this.#context.capacity.of(target, this.#context.now()).speed);
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			isSentAhead: this.#request.isSentAhead,
			method,
			path,
			body,
			instructions: this.#createInstructions(target, parts),
			readMilliseconds: entry.readMilliseconds,
			entry,
			hasPermit,
			expectedMilliseconds,
			// Only a repeatable stream is aborted when its engine is silent.
			answerDueMilliseconds: this.#assembly.isRepeatable ? expectedMilliseconds + overdueMarginMilliseconds : undefined,
			mayStart: () => {
				this.#hasLiveAttempt = this.#gate.mayStartAttempt();
				return this.#hasLiveAttempt;
			},
			...this.#assembly.createReceivers(),
		});
		this.#lifecycle.setCancelAttempt(cancel);
		const result = await outcome;
		this.#hasLiveAttempt = false;
		return this.#lifecycle.isEnded ? false : this.#handleStreamOutcome(target, result);
	}

	#handleStreamOutcome(target: TargetRecord, result: AttemptOutcome): boolean {
		switch (result.kind) {
			case 'streamed':
			case 'answer':
			case 'failure':
			case 'unknown': {
				// The engine may have fetched the KV cache.
				this.#handle = undefined;
				return this.#assembly.handleOutcome(target, result);
			}

			case 'not sent': {
				return this.#handleUnsentAttempt(target, result);
			}

			case 'not run': {
				return this.#assembly.handleOutcome(target, result);
			}
		}
	}

	#handleUnsentAttempt(target: TargetRecord, outcome: Extract<AttemptOutcome, {readonly kind: 'not sent'}>): boolean {
		return !this.#gate.refuseHeld() && this.#lifecycle.handleUnansweredAttempt(target, outcome);
	}

	/** Releases the KV cache that a prefill engine holds for this request, unless a decode engine may have fetched it. */
	#releaseHandle(): void {
		if (this.#handle === undefined) {
			return;
		}

		void this.#sender.releaseHandle(this.#handle.engine, this.#handle.id, this.#request.facts);
		this.#handle = undefined;
	}
}
