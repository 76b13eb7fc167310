/**
Asks one engine again and again what has changed in what it keeps.
*/
import * as option from 'fp-ts/lib/Option.js';
import {Agent, request} from 'undici';
import type {CacheChanges} from '../fleet/cache-changes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

/** An engine answers at once when there is news, else after this. */
const waitMilliseconds = 1000;
/** Pause after an answer, so that one question brings many changes. */
const pauseMilliseconds = 500;
/** Pause after a question that brought no answer. */
const retryMilliseconds = 1500;
const callMilliseconds = 2500;
const mostAnswerBytes = 4_194_304;

/**
Follows one incarnation until stopped. A restart of the engine or a gap has it ask
for all that the engine keeps, which costs the engine time and is done for nothing else.

@example
```
const follower = new EngineFollower(context, record);
follower.start();
```
*/
export class EngineFollower {
	#isStopped = false;
	#isHeard = false;
	#timer: NodeJS.Timeout | undefined;
	/** Undefined before the first answer. */
	#epoch: string | undefined;
	#next = 0;
	#mustAskAll = false;
	readonly #agent = new Agent({
		connections: 1, pipelining: 1, connect: {timeout: callMilliseconds}, maxResponseSize: mostAnswerBytes,
	});

	readonly #context: EntryContext;
	readonly #target: TargetRecord;

	constructor(context: EntryContext, target: TargetRecord) {
		this.#context = context;
		this.#target = target;
	}

	start(): void {
		void this.#round();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		void this.#agent.destroy();
	}

	async #round(): Promise<void> {
		const isAnswered = await this.#ask();
		if (this.#isStopped) {
			return;
		}

		this.#tellOfChange(isAnswered);
		this.#timer = setTimeout(() => {
			void this.#round();
		}, isAnswered ? pauseMilliseconds : retryMilliseconds);
	}

	/** One question and its answer; true when it could be read. */
	async #ask(): Promise<boolean> {
		const {protocol, kept, metrics, now} = this.#context;
		const {id, incarnation} = this.#target;
		const isAll = this.#mustAskAll;
		const answer = await this.#call(isAll ? protocol.cacheListRequest(id) : protocol.cacheChangesRequest(id, this.#next, waitMilliseconds));
		if (option.isNone(answer) || this.#isStopped) {
			return false;
		}

		const {epoch, next, isGap, changes} = answer.value;
		const isFirst = this.#epoch === undefined;
		this.#mustAskAll = !isAll && (isGap || (!isFirst && epoch !== this.#epoch));
		this.#epoch = epoch;
		if (this.#mustAskAll) {
			metrics.count('engine.gap');
			return true;
		}

		if (isAll || isFirst) {
			kept.discardReports(incarnation);
		}

		this.#next = next;
		kept.recordReport(incarnation, changes, now());
		return true;
	}

	async #call({path, headers}: {readonly path: string; readonly headers: Readonly<Record<string, string>>}): Promise<option.Option<CacheChanges>> {
		try {
			const answer = await request(`http://${this.#target.address}${path}`, {dispatcher: this.#agent, headers, signal: AbortSignal.timeout(callMilliseconds)});
			const body = await answer.body.text();
			this.#context.metrics.count(`engine.asked.${answer.statusCode}`);
			return answer.statusCode === 200 ? this.#context.protocol.readCacheChanges(body) : option.none;
		} catch (error) {
			this.#context.metrics.count('engine.asked.failed');
			this.#context.log.debug({event: 'engine not heard', target: this.#target.id, detail: (error as Error).message}, 'engine did not say what it keeps');
			return option.none;
		}
	}

	/** One line when an engine begins or ceases to tell what it keeps. */
	#tellOfChange(isAnswered: boolean): void {
		if (isAnswered === this.#isHeard) {
			return;
		}

		this.#isHeard = isAnswered;
		this.#context.log.info({event: isAnswered ? 'engine followed' : 'engine lost', target: this.#target.id, incarnation: this.#target.incarnation}, isAnswered ? 'engine tells what it keeps' : 'engine does not tell what it keeps');
	}
}
