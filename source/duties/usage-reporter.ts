/**
Carries out the report plan at the gateway that holds the lease: decides reports in the store and sends them.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {Logger} from 'roarr';
import type {CollectedUsage} from '../decisions/duties/collected-usage.js';
import {formatUsage} from '../decisions/duties/format-usage.js';
import type {ReportPlan} from '../decisions/duties/report-plan.js';
import {RateLimit} from '../decisions/entry/requests/rate-limit.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {DutyInterface} from '../ports/duty-interface.js';
import type {LeaseStore} from '../ports/lease-store.js';
import type {DutyLease} from './duty-lease.js';

type ReporterOptions = {
	readonly name: string;
	readonly leaseKey: string;
	readonly callsPerSecond: number;
	readonly windowMilliseconds: number;
	readonly lease: DutyLease;
	readonly plan: ReportPlan;
	readonly collected: CollectedUsage;
	readonly store: LeaseStore;
	readonly duties: DutyInterface;
	/** True when no peer's counts are missing for this window. */
	readonly isComplete: (window: number) => boolean;
	/** Called once a report is decided, before it is sent, and once it is accepted. */
	readonly onReport: (window: number) => void;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly now: () => number;
};

type Step = ReturnType<ReportPlan['steps']>[number];
type Transacted = Awaited<ReturnType<LeaseStore['transact']>>;

/** Share of the interface's rate that is used, as calls of a former holder may be under way. */
const rateShare = 0.2;
/** Stored reports are removed this many windows later; none is repeated for so long. */
const storedWindows = 12;
/** Windows whose stored reports are removed together, so that none stays when some windows had no report. */
const removedWindows = 8;

/**
One instance a process.

@example
```
reporter.tick(trueTime);
```
*/
export class UsageReporter {
	readonly #rate: RateLimit;
	readonly #options: ReporterOptions;

	constructor(options: ReporterOptions) {
		this.#options = options;
		this.#rate = new RateLimit(Math.max(1, options.callsPerSecond * rateShare));
	}

	/** Takes the steps that are due; to be called several times a second with true time. */
	tick(time: number): void {
		const {lease, plan, collected, isComplete, now} = this.#options;
		if (!lease.mayCall()) {
			return;
		}

		const {token} = lease.holding!;
		const view = {time, isComplete, covers: (window: number) => collected.covers(window)};
		for (const step of plan.steps(view, now())) {
			void this.#perform(step, token, time);
		}
	}

	async #perform(step: Step, token: number, time: number): Promise<void> {
		switch (step.kind) {
			case 'decide': {
				const {window, isComplete} = step;
				const content = step.content ?? formatUsage(this.#options.collected.totals(window));
				await this.#decide({
					window, content, isComplete, time,
				}, token);
				break;
			}

			case 'recall': {
				await this.#recall(step.window, token);
				break;
			}

			case 'send': {
				await this.#send(step, token);
				break;
			}
		}
	}

	#key(window: number): string {
		return `${this.#options.leaseKey}/${window}`;
	}

	/** Writes a report to the store, unless one is there; then that one is taken. */
	async #decide({window, content, isComplete, time}: {readonly window: number; readonly content: string; readonly isComplete: boolean; readonly time: number}, token: number): Promise<void> {
		const {leaseKey, lease, store, windowMilliseconds, log, metrics} = this.#options;
		const {revision} = lease.holding!;
		metrics.count('duty.store.decide');
		const written = await store.transact({
			// With the lease's record as a precondition, a transaction that is carried out late, under another holder, does nothing.
			precondition: [{key: leaseKey, revision}, {key: this.#key(window), revision: 0}],
			write: [{key: this.#key(window), value: content}],
			remove: Array.from({length: removedWindows}, (_, index) => this.#key(window - storedWindows - index)),
		});
		const stored = await this.#readResult(written, window, content, token);
		if (stored !== undefined && this.#recordStored(window, stored, token)) {
			metrics.count(`usage.report.decided${isComplete ? '' : '.incomplete'}`);
			log.info({
				event: 'usage report decided', window, token, isComplete, isOwn: stored === content, characters: stored.length, age: Math.round(time - ((window + 1) * windowMilliseconds)),
			}, 'usage report decided');
		}
	}

	/** Returns what the store has for the window; undefined when that is not known, or not to be acted on. */
	async #readResult(written: Transacted, window: number, content: string, token: number): Promise<string | undefined> {
		const {leaseKey, lease, plan, store, metrics, now} = this.#options;
		if (token !== lease.holding?.token) {
			return undefined;
		}

		if (written.isErr()) {
			metrics.count('duty.store.failed');
			plan.recordFailure(window, now());
			return undefined;
		}

		const {era, revision} = lease.holding;
		const result = written.value;
		const holder = result.kind === 'conflict' ? result.items.find(({key}) => key === leaseKey) : undefined;
		if (result.era !== era || result.kind === 'no lease' || (holder !== undefined && holder.revision !== revision)) {
			lease.recordLost(token);
			return undefined;
		}

		if (result.kind === 'written') {
			return content;
		}

		const item = result.items.find(({key}) => key === this.#key(window));
		if (item !== undefined) {
			return item.value;
		}

		const found = await store.readItem(this.#key(window));
		if (found.isErr()) {
			plan.recordFailure(window, now());
			return undefined;
		}

		if (option.isNone(found.value.item)) {
			// The report is not there, so it is the lease's record that is not as it was.
			lease.recordLost(token);
			return undefined;
		}

		return found.value.item.value.value;
	}

	/** Asks the store for a report that is overdue, as a former holder may have decided it. */
	async #recall(window: number, token: number): Promise<void> {
		const {lease, plan, store, metrics, now} = this.#options;
		metrics.count('duty.store.recall');
		const found = await store.readItem(this.#key(window));
		if (token !== lease.holding?.token) {
			return;
		}

		if (found.isErr()) {
			plan.recordFailure(window, now());
		} else if (option.isSome(found.value.item) && found.value.era === lease.holding.era) {
			this.#recordStored(window, found.value.item.value.value, token);
		} else {
			plan.recordAbsent(window);
		}
	}

	/** Records a stored report; false when the lease has changed since. */
	#recordStored(window: number, content: string, token: number): boolean {
		const {lease, plan, onReport} = this.#options;
		if (token !== lease.holding?.token) {
			return false;
		}

		plan.recordStored(window, content);
		onReport(window);
		return true;
	}

	async #send({window, content}: Extract<Step, {readonly kind: 'send'}>, token: number): Promise<void> {
		const {name, lease, plan, duties, onReport, log, metrics, now} = this.#options;
		if (!this.#rate.tryTake(now())) {
			plan.recordFailure(window, now());
			return;
		}

		const isHeld = (): boolean => token === lease.holding?.token;
		const outcome = await duties.reportUsage(window, content, {holder: name, fencingToken: token, mayCall: () => isHeld() && lease.mayCall()});
		metrics.count(`usage.report.${outcome.kind.replace(' ', '-')}`);
		log.info({
			event: 'usage report sent', window, token, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : '',
		}, 'call to report usage ended');
		switch (outcome.kind) {
			case 'accepted': {
				plan.recordAccepted(window);
				onReport(window);
				break;
			}

			case 'fenced': {
				log.warn({event: 'usage report refused', window, token}, 'usage report refused: the platform has seen a higher token');
				lease.giveUp(token, 'fenced');
				break;
			}

			case 'busy':
			case 'rejected':
			case 'not sent':
			case 'unknown': {
				if (isHeld()) {
					plan.recordFailure(window, now());
				}

				break;
			}
		}
	}
}
