/**
Stores what one gateway knows about each target: its location, its load, and its failures.
*/
import type {Load} from '../../generated/messages.js';
import type {TargetView} from './target-view.js';

const failuresBeforeEjection = 3;
const ejectionMilliseconds = 5000;
const maxEjectionMilliseconds = 60_000;

type TargetDescription = Pick<TargetView, 'name' | 'service' | 'availabilityZone'>;

/**
Table of all targets that the gateway knows.

A target that fails several times in a row is ejected for a time that doubles
with each further failure. The class reads no clock: the caller passes the time.

@example
```
directory.upsert({name: 'engine-3', service: 'advice-llm', availabilityZone: 'lhr-a'});
directory.recordSent('engine-3', 5000);
```
*/
export class TargetDirectory {
	readonly #views = new Map<string, TargetView>();

	/** All targets of a service, including leaving ones. */
	ofService(service: string): readonly TargetView[] {
		return [...this.#views.values()].filter(view => view.service === service);
	}

	get(name: string): TargetView | undefined {
		return this.#views.get(name);
	}

	get all(): readonly TargetView[] {
		return [...this.#views.values()];
	}

	/** Adds a target, or updates its service and availability zone and keeps its load and failures. */
	upsert(description: TargetDescription): void {
		const known = this.#views.get(description.name);
		this.#views.set(description.name, known === undefined
			? {
				...description, load: undefined, loadAt: 0, outstanding: 0, sentSince: 0, promptTokensSentSince: 0, failures: 0, ejectedUntil: 0, leaving: false, listedLeaving: false,
			}
			: {...known, ...description});
	}

	/** Removes a target that is no longer in the VM list. */
	remove(name: string): void {
		this.#views.delete(name);
	}

	/** Records whether the VM list has the target as leaving. A target gets no new work when either the list or its sidecar says so. */
	setListedLeaving(name: string, listedLeaving: boolean): void {
		this.#update(name, view => ({...view, listedLeaving}));
	}

	/** Records whether the target's sidecar says that it is leaving. */
	setLeaving(name: string, leaving: boolean): void {
		this.#update(name, view => ({...view, leaving}));
	}

	/** Records that an attempt was sent, which the last load report does not include. */
	recordSent(name: string, promptTokens: number): void {
		this.#update(name, view => ({
			...view, outstanding: view.outstanding + 1, sentSince: view.sentSince + 1, promptTokensSentSince: view.promptTokensSentSince + promptTokens,
		}));
	}

	/** Records that an attempt ended, with or without success. */
	recordEnded(name: string): void {
		this.#update(name, view => ({...view, outstanding: Math.max(0, view.outstanding - 1)}));
	}

	/** Stores a new load report and resets the counts of what was sent since the last one, as the new one includes it. */
	recordLoad(name: string, load: Load, now: number): void {
		this.#update(name, view => ({
			...view, load, loadAt: now, sentSince: 0, promptTokensSentSince: 0,
		}));
	}

	/** Resets the failure count and ends an ejection. */
	recordSuccess(name: string): void {
		this.#update(name, view => ({...view, failures: 0, ejectedUntil: 0}));
	}

	/** Counts a failure. From the third in a row on, each ejects the target, for twice as long as the one before, up to a maximum. */
	recordFailure(name: string, now: number): void {
		this.#update(name, view => {
			const failures = view.failures + 1;
			const doublings = failures - failuresBeforeEjection;
			return doublings < 0
				? {...view, failures}
				: {...view, failures, ejectedUntil: now + Math.min(maxEjectionMilliseconds, ejectionMilliseconds * (2 ** doublings))};
		});
	}

	#update(name: string, change: (view: TargetView) => TargetView): void {
		const view = this.#views.get(name);
		if (view !== undefined) {
			this.#views.set(name, change(view));
		}
	}
}
