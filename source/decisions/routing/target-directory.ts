/**
What one gateway knows of all targets: who they are, their load, and their record.
*/
import type {Load} from '../../generated/messages.js';
import type {TargetView} from './target-view.js';

const failuresBeforeEjection = 3;
const ejectionMilliseconds = 5000;
const mostEjectionMilliseconds = 60_000;

type TargetFacts = Pick<TargetView, 'name' | 'service' | 'availabilityZone'>;

/**
The views of all targets. Deterministic: the caller passes the time.

@example
```
directory.learn({name: 'engine-3', service: 'advice-llm', availabilityZone: 'lhr-a'});
directory.sent('engine-3', 5000);
```
*/
export class TargetDirectory {
	readonly #views = new Map<string, TargetView>();

	/** All targets of a service, leaving ones too. */
	ofService(service: string): readonly TargetView[] {
		return [...this.#views.values()].filter(view => view.service === service);
	}

	get(name: string): TargetView | undefined {
		return this.#views.get(name);
	}

	get all(): readonly TargetView[] {
		return [...this.#views.values()];
	}

	/** Adds a target or changes where it is; keeps what was learned of its load. */
	learn(facts: TargetFacts): void {
		const known = this.#views.get(facts.name);
		this.#views.set(facts.name, known === undefined
			? {
				...facts, load: undefined, loadAt: 0, outstanding: 0, sentSince: 0, promptTokensSentSince: 0, failures: 0, ejectedUntil: 0, leaving: false, listedLeaving: false,
			}
			: {...known, ...facts});
	}

	/** Forgets a target that the VM list no longer has. */
	forget(name: string): void {
		this.#views.delete(name);
	}

	/** Takes the VM list's word. Either source's word of leaving suffices. */
	setListedLeaving(name: string, listedLeaving: boolean): void {
		this.#update(name, view => ({...view, listedLeaving}));
	}

	/** Takes the sidecar's own word of whether it takes new work. */
	setLeaving(name: string, leaving: boolean): void {
		this.#update(name, view => ({...view, leaving}));
	}

	/** Records an attempt that the last load report does not show. */
	sent(name: string, promptTokens: number): void {
		this.#update(name, view => ({
			...view, outstanding: view.outstanding + 1, sentSince: view.sentSince + 1, promptTokensSentSince: view.promptTokensSentSince + promptTokens,
		}));
	}

	/** Records that an attempt ended, however it ended. */
	ended(name: string): void {
		this.#update(name, view => ({...view, outstanding: Math.max(0, view.outstanding - 1)}));
	}

	/** Takes a fresh load report, which shows all attempts sent before it. */
	reported(name: string, load: Load, now: number): void {
		this.#update(name, view => ({
			...view, load, loadAt: now, sentSince: 0, promptTokensSentSince: 0,
		}));
	}

	/** Clears the record of failures. */
	succeeded(name: string): void {
		this.#update(name, view => ({...view, failures: 0, ejectedUntil: 0}));
	}

	/** Counts a failure; several in a row take the target out of use, longer each time. */
	failed(name: string, now: number): void {
		this.#update(name, view => {
			const failures = view.failures + 1;
			const doublings = failures - failuresBeforeEjection;
			return doublings < 0
				? {...view, failures}
				: {...view, failures, ejectedUntil: now + Math.min(mostEjectionMilliseconds, ejectionMilliseconds * (2 ** doublings))};
		});
	}

	#update(name: string, change: (view: TargetView) => TargetView): void {
		const view = this.#views.get(name);
		if (view !== undefined) {
			this.#views.set(name, change(view));
		}
	}
}
