/**
Polls one engine for the changes of its prefix cache.
*/
import {Buffer} from 'node:buffer';
import * as option from 'fp-ts/lib/Option.js';
import type {CacheChanges} from '../fleet/cache-changes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';
import {readWholeAnswer} from './read-whole-answer.js';
import {recordTargetState} from './record-target-state.js';
import {TargetConnection} from './target-connection.js';

/** An engine answers a poll at once when there are changes, otherwise after this time. */
const longPollMilliseconds = 1000;
/** Pause after an answer, so that the next poll returns many changes at once. */
const pollPauseMilliseconds = 500;
/** The same while the engine names a rate limit, so that polls take little of what it can do. */
const limitedPollPauseMilliseconds = 2000;
/** Pause after a poll that failed. */
const retryMilliseconds = 1500;
const callTimeoutMilliseconds = 2500;
const maxAnswerBytes = 4_194_304;

/**
Polls one incarnation until it is stopped. After a restart of the engine or a gap in the
changes it requests the list of the whole cache. That costs the engine time, so it is
requested in no other case.

@example
```
const poller = new EngineCachePoller(context, record);
poller.start();
```
*/
export class EngineCachePoller {
	#isStopped = false;
	#isAnswering = false;
	#timer: NodeJS.Timeout | undefined;
	/** Epoch of the engine's change log; undefined before the first answer. */
	#epoch: string | undefined;
	#next = 0;
	#mustListAll = false;
	readonly #connection: TargetConnection;
	readonly #context: EntryContext;
	readonly #target: TargetRecord;

	constructor(context: EntryContext, target: TargetRecord) {
		this.#connection = new TargetConnection(target.address, context.pacer);
		this.#context = context;
		this.#target = target;
	}

	start(): void {
		void this.#poll();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		this.#connection.destroy();
	}

	async #poll(): Promise<void> {
		const {pauses, now} = this.#context;
		const pauseMilliseconds = pauses.shortest([this.#target.incarnation], now());
		if (pauseMilliseconds > 0) {
			this.#schedule(pauseMilliseconds);
			return;
		}

		const isAnswered = await this.#fetchChanges();
		if (this.#isStopped) {
			return;
		}

		this.#logTransition(isAnswered);
		this.#schedule(this.#pauseAfter(isAnswered));
	}

	#pauseAfter(isAnswered: boolean): number {
		if (this.#context.rateLimits.limitOf(this.#target.incarnation) !== undefined) {
			return limitedPollPauseMilliseconds;
		}

		return isAnswered ? pollPauseMilliseconds : retryMilliseconds;
	}

	#schedule(milliseconds: number): void {
		this.#timer = setTimeout(() => {
			void this.#poll();
		}, milliseconds);
	}

	/** Makes one request; true when its answer could be read. */
	async #fetchChanges(): Promise<boolean> {
		const {protocol, prefixCache, metrics, now} = this.#context;
		const {id, incarnation} = this.#target;
		const isFullList = this.#mustListAll;
		const answer = await this.#call(isFullList ? protocol.cacheListRequest(id) : protocol.cacheChangesRequest(id, this.#next, longPollMilliseconds));
		if (option.isNone(answer) || this.#isStopped) {
			return false;
		}

		const {epoch, next, isGap, changes} = answer.value;
		const isFirst = this.#epoch === undefined;
		this.#mustListAll = !isFullList && (isGap || (!isFirst && epoch !== this.#epoch));
		this.#epoch = epoch;
		if (this.#mustListAll) {
			metrics.count('engine.gap');
			return true;
		}

		if (isFullList || isFirst) {
			prefixCache.discardReports(incarnation);
		}

		this.#next = next;
		prefixCache.recordReport(incarnation, changes, now());
		return true;
	}

	async #call({path, headers}: {readonly path: string; readonly headers: Readonly<Record<string, string>>}): Promise<option.Option<CacheChanges>> {
		const {protocol, metrics, log, timers} = this.#context;
		const {id, address} = this.#target;
		const answer = await readWholeAnswer(this.#connection, {
			requestId: '', method: 'GET', path, headers: ['Host', address, ...Object.entries(headers).flat()], body: undefined,
		}, {maxBytes: maxAnswerBytes, timeoutMilliseconds: callTimeoutMilliseconds, timers});
		if (answer.isErr()) {
			metrics.count('engine.asked.failed');
			log.debug({event: 'engine not heard', target: id, detail: answer.error}, 'poll of the engine cache failed');
			return option.none;
		}

		const {status, body} = answer.value;
		recordTargetState(this.#context, this.#target, protocol.readAnswer(status, answer.value.headers));
		metrics.count(`engine.asked.${status}`);
		return status === 200 ? protocol.readCacheChanges(Buffer.from(body).toString('utf8')) : option.none;
	}

	/** Writes one log line when an engine begins or ceases to answer. */
	#logTransition(isAnswered: boolean): void {
		if (isAnswered === this.#isAnswering) {
			return;
		}

		this.#isAnswering = isAnswered;
		this.#context.log.info({event: isAnswered ? 'engine followed' : 'engine lost', target: this.#target.id, incarnation: this.#target.incarnation}, isAnswered ? 'engine reports its cache' : 'engine does not report its cache');
	}
}
