/**
Relays one request to engines: has its prompt read, its tokens made, and passes
whole events on as they come.
*/
import * as option from 'fp-ts/lib/Option.js';
import {EventSplitter} from '../decisions/entry/event-splitter.js';
import {placeDecode} from '../decisions/entry/place-decode.js';
import {resultCode} from '../generated/result-codes.js';
import type {AnswerFacts} from '../fleet/answer-facts.js';
import type {SendInstructions} from '../fleet/send-instructions.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import {listFacts} from './list-facts.js';
import {targetViews} from './target-views.js';
import type {LoadEntry} from './load-entry.js';
import type {PromptQueues} from './prompt-queues.js';
import type {AttemptSender} from './attempt-sender.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {RequestCourse} from './request-course.js';

type Verdict = Parameters<Parameters<PromptQueues['enqueue']>[2]>[0];

type Handle = {readonly engine: TargetRecord; readonly id: string};

/** Rank of the most urgent route at engines; others follow, as 9 is the last. Late work goes behind all that can be on time. */
const firstRank = {onTime: 2, late: 6} as const;
const lastRank = 9;
/** Time beyond the estimate after which an answer is overdue. */
const overdueMilliseconds = 1200;

/**
Chooses engines, sends, and joins the events of several runs into one answer.

Invariant: bytes that reach the caller are whole events of one run, or of a run
that went on behind the last event of the one before.

@example
```
await new StreamRelay(request, context, sender, queues).run();
```
*/
export class StreamRelay {
	#isLive = false;
	readonly #request: CallerRequest;
	readonly #context: EntryContext;
	readonly #sender: AttemptSender;
	readonly #course: RequestCourse;
	#lastEventId: string | undefined;
	#hasPassedEvents = false;
	#head: AnswerFacts | undefined;
	#handle: Handle | undefined;
	#handleSends = 0;
	#lane: 'onTime' | 'late' = 'onTime';
	readonly #queues: PromptQueues;
	readonly #shared: {readonly parts: NonNullable<CallerRequest['facts']['prompt']>['parts']; readonly key: string; readonly tokens: number; readonly cacheTokens: number};

	constructor(request: CallerRequest, context: EntryContext, sender: AttemptSender, queues: PromptQueues) {
		this.#request = request;
		this.#context = context;
		this.#sender = sender;
		this.#queues = queues;
		const parts = request.facts.prompt?.parts.slice(0, -1) ?? [];
		this.#shared = {
			parts,
			key: parts.map(({id}) => id).join(','),
			tokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
			cacheTokens: context.service(request.service)?.engine?.cacheTokens ?? 0,
		};
		this.#course = new RequestCourse(request, context, {isRepeatable: () => this.#isRepeatable, hasLiveRun: () => this.#isLive});
	}

	get #isRepeatable(): boolean {
		return this.#request.route.isResumable && (!this.#hasPassedEvents || this.#lastEventId !== undefined);
	}

	/** Runs the request to its final answer. */
	async run(): Promise<void> {
		this.#course.begin();
		await this.#relay();
	}

	async #relay(): Promise<void> {
		await this.#runOnce();
		this.#freeHandle();
	}

	async #runOnce(): Promise<void> {
		const isAgain = this.#handle === undefined ? await this.#place() : await this.#sendWithHandle(this.#handle);
		if (isAgain && !this.#course.isOver) {
			await this.#runOnce();
		}
	}

	/** Waits until it is decided where the prompt is read, and has it read there; true when the request goes on. */
	async #place(): Promise<boolean> {
		const verdict = await this.#wait();
		switch (verdict.kind) {
			case 'placed': {
				return this.#sendPlaced(verdict);
			}

			case 'no engine': {
				this.#course.refuse(resultCode.noTarget, 800);
				return false;
			}

			case 'hopeless': {
				this.#course.refuse(resultCode.deadlineUnreachable, verdict.waitMilliseconds);
				return false;
			}

			case 'withdrawn': {
				return false;
			}
		}
	}

	async #wait(): Promise<Verdict | {readonly kind: 'withdrawn'}> {
		const {route, startedAt, limitAt, service, facts, body} = this.#request;
		const patience = route.firstEventPatienceMilliseconds;
		return new Promise(resolve => {
			const withdraw = this.#queues.enqueue(service, {
				id: facts.requestId,
				priority: route.priority,
				dueAt: startedAt + route.targetLatencyMilliseconds,
				giveUpAt: Math.min(limitAt, (this.#lastEventId === undefined ? startedAt : this.#context.now()) + patience),
				tokens: facts.prompt?.tokens ?? 0,
				sharedParts: this.#shared.parts,
				sharedKey: this.#shared.key,
				sharedTokens: this.#shared.tokens,
				bodyBytes: body?.byteLength ?? 0,
				avoid: this.#course.avoid,
				// A run that goes on behind an event is placed whole: the engine reads prompt and events again.
				isInPlaceOnly: this.#lastEventId !== undefined || !this.#course.mayReadApart(),
			}, resolve);
			this.#course.attemptUnderWay(() => {
				withdraw();
				resolve({kind: 'withdrawn'});
			});
		});
	}

	async #sendPlaced({placement, lane, target, fetchFrom, entry, grant, denials}: Extract<Verdict, {readonly kind: 'placed'}>): Promise<boolean> {
		if (this.#course.isOver) {
			this.#context.loadTracker.remove(entry);
			return false;
		}

		const {way, readMilliseconds, cost, engine, latency} = placement;
		this.#lane = lane;
		this.#keeps(target);
		this.#context.metrics.count(`placed.${way.replace(' ', '-')}`);
		this.#course.lines.add('placed', {
			target: target.id,
			way,
			lane,
			sharedPart: this.#shared.key,
			readMilliseconds: Math.round(readMilliseconds),
			cost: Math.round(cost),
			latency: Math.round(latency),
			fetchFrom: fetchFrom?.id,
			keptTokens: placement.cachedTokens,
			isKeptTold: this.#context.prefixCache.hasFreshReport(target.incarnation, this.#context.now()),
			waitingMilliseconds: Math.round(engine.readMilliseconds),
			grant,
			denials,
			attempts: engine.attempts,
			...listFacts(this.#context),
		}, this.#context.now());
		return way === 'prefill first' ? this.#readPrompt(target, entry, latency, fetchFrom?.address) : this.#sendStream(target, entry, {fetchFrom: fetchFrom?.address});
	}

	/** Records that an engine reads or fetches this prompt, and keeps its shared parts. */
	#keeps(target: TargetRecord): void {
		const {parts, tokens, cacheTokens} = this.#shared;
		const {prefixCache, gatewayCount, now} = this.#context;
		const unread = (this.#request.facts.prompt?.tokens ?? 0) - prefixCache.cachedTokens(target.incarnation, parts, {cacheTokens, now: now()});
		prefixCache.recordPrefill(target.incarnation, Math.max(0, unread) * gatewayCount());
		prefixCache.recordSent(target.incarnation, parts, now());
	}

	#instructions(target: TargetRecord, parts: Partial<SendInstructions>): SendInstructions {
		return {
			targetId: target.id,
			remainingMilliseconds: this.#course.remaining,
			rank: Math.min(lastRank, firstRank[this.#lane] + this.#request.route.priority),
			isPrefillOnly: false,
			handle: undefined,
			fetchFrom: undefined,
			lastEventId: this.#lastEventId,
			...parts,
		};
	}

	/** Has a prefill engine read the prompt; repeating that does no harm. */
	async #readPrompt(target: TargetRecord, entry: LoadEntry, latency: number, fetchFrom: string | undefined): Promise<boolean> {
		const {facts, method, path, body} = this.#request;
		const startedAt = this.#context.now();
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			method,
			path,
			body,
			instructions: this.#instructions(target, {isPrefillOnly: true, fetchFrom}),
			readMilliseconds: entry.readMilliseconds,
			entry,
			expectedMilliseconds: latency * 2,
			answerDueMilliseconds: (latency * 2) + overdueMilliseconds,
			mayStart: () => this.#course.mayArrive(),
		});
		this.#course.attemptUnderWay(cancel);
		const result = await outcome;
		const handle = this.#readHandle(result, target);
		this.#context.metrics.record('prefill', this.#context.now() - startedAt);
		this.#course.lines.add('prompt read', {target: target.id, outcome: result.kind, milliseconds: Math.round(this.#context.now() - startedAt)}, this.#context.now());
		if (option.isSome(handle)) {
			this.#course.readingTaken();
			this.#handle = handle.value;
			this.#handleSends = 0;
			return !this.#course.isOver;
		}

		if (this.#course.isOver) {
			return false;
		}

		return this.#course.mayGoOn(target, result.kind === 'not sent' ? result : {kind: 'not run', isOtherTarget: false});
	}

	#readHandle(result: AttemptOutcome, target: TargetRecord): option.Option<Handle> {
		if (result.kind !== 'answer' || result.facts.status !== 200) {
			return option.none;
		}

		const read = this.#context.protocol.readPrefill(result.body);
		return option.isNone(read) ? option.none : option.some({engine: target, id: read.value.id});
	}

	/** Has a decode engine fetch what was read, chosen at this moment. */
	async #sendWithHandle(handle: Handle): Promise<boolean> {
		const {views, record} = targetViews(this.#context, this.#request.service);
		const chosen = placeDecode({
			engines: views, availabilityZone: this.#context.settings().availabilityZone, prefillZone: handle.engine.availabilityZone, bodyBytes: this.#request.body?.byteLength ?? 0, avoid: this.#course.avoid,
		});
		if (option.isNone(chosen)) {
			this.#course.refuse(resultCode.noTarget, 800);
			return false;
		}

		const target = record(chosen.value.id);
		this.#handleSends++;
		this.#keeps(target);
		this.#course.lines.add('tokens placed', {
			target: target.id, attempts: chosen.value.attempts, readMilliseconds: Math.round(chosen.value.readMilliseconds), ...listFacts(this.#context),
		}, this.#context.now());
		const isAgain = await this.#sendStream(target, this.#context.loadTracker.add(target.id, 0), {handle: {address: handle.engine.address, id: handle.id}});
		if (isAgain && this.#handleSends > 1) {
			// Refused twice with this handle: it may be gone, so the prompt is read again.
			this.#freeHandle();
		}

		return isAgain;
	}

	async #sendStream(target: TargetRecord, entry: LoadEntry, parts: Partial<SendInstructions>): Promise<boolean> {
		const {facts, method, path, body} = this.#request;
		const splitter = new EventSplitter();
		const {outcome, cancel} = this.#sender.send({
			target,
			facts,
			method,
			path,
			body,
			instructions: this.#instructions(target, parts),
			readMilliseconds: entry.readMilliseconds,
			entry,
			expectedMilliseconds: entry.readMilliseconds * 4,
			// Only a stream that may run again is given up at a silent engine.
			answerDueMilliseconds: this.#isRepeatable ? (entry.readMilliseconds * 4) + overdueMilliseconds : undefined,
			mayStart: () => {
				this.#isLive = this.#course.mayArrive();
				return this.#isLive;
			},
			sink: {
				head: head => {
					this.#head ??= head;
				},
				data: (chunk, flow) => {
					this.#pass(splitter.push(chunk), flow);
				},
			},
		});
		this.#course.attemptUnderWay(cancel);
		const result = await outcome;
		this.#isLive = false;
		return this.#course.isOver ? false : this.#afterStream(target, result, splitter);
	}

	#afterStream(target: TargetRecord, result: AttemptOutcome, splitter: EventSplitter): boolean {
		switch (result.kind) {
			case 'streamed': {
				this.#handle = undefined;
				if (result.isWhole) {
					this.#finish(splitter);
					return false;
				}

				return this.#course.mayGoOn(target, {kind: 'unknown', reason: result.reason});
			}

			case 'answer': {
				// Never collected while there is a sink for streams.
				this.#request.answer.whole(result.facts, result.body);
				this.#course.over({outcome: 'answered'});
				return false;
			}

			case 'unknown':
			case 'failure': {
				this.#handle = undefined;
				return this.#course.mayGoOn(target, result);
			}

			case 'not sent':
			case 'not run': {
				return this.#course.mayGoOn(target, result);
			}
		}
	}

	#pass({events, lastId}: ReturnType<EventSplitter['push']>, flow: {readonly pause: () => void; readonly resume: () => void}): void {
		if (events.length === 0 || this.#course.isOver) {
			return;
		}

		this.#start();
		for (const event of events) {
			this.#request.answer.write(event, flow);
		}

		this.#hasPassedEvents = true;
		this.#lastEventId = lastId ?? this.#lastEventId;
	}

	#start(): void {
		if (!this.#request.answer.isStarted) {
			this.#course.answerBegins();
			this.#context.metrics.record('first-event', this.#context.now() - this.#request.startedAt);
			this.#request.answer.start(this.#head!);
		}
	}

	#finish(splitter: EventSplitter): void {
		this.#start();
		if (splitter.rest.length > 0) {
			this.#request.answer.write(splitter.rest, {pause: () => undefined, resume: () => undefined});
		}

		this.#request.answer.end();
		this.#course.over({outcome: 'answered'});
	}

	/** Frees what a prefill engine keeps for this request, if it was not taken. */
	#freeHandle(): void {
		if (this.#handle === undefined) {
			return;
		}

		void this.#sender.free(this.#handle.engine, this.#handle.id, this.#request.facts);
		this.#handle = undefined;
	}
}
