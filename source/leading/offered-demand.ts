/**
Measures the tokens offered to a service from its targets' counters.
*/
import type {TargetView} from '../decisions/routing/target-view.js';

const millisecondsPerSecond = 1000;

type Counters = {readonly prompt: number; readonly output: number; readonly reportedAt: number};

/**
Differences of counters that only grow while a sidecar lives; a restarted one
begins anew and is counted from its next report on.

Retries count again, but they are offered in the same mix, and the planner looks
at the mix.

@example
```
const {prefill, decode} = demand.observe(targets);
```
*/
export class OfferedDemand {
	readonly #last = new Map<string, Counters>();
	readonly #rates = new Map<string, {readonly prefill: number; readonly decode: number}>();

	/** Tokens offered a second, summed over the targets' latest reports. */
	observe(targets: readonly TargetView[]): {readonly prefill: number; readonly decode: number} {
		for (const {name, load, loadAt} of targets) {
			const last = this.#last.get(name);
			if (load === undefined || last?.reportedAt === loadAt) {
				continue;
			}

			this.#last.set(name, {prompt: load.promptTokensOffered, output: load.outputTokensOffered, reportedAt: loadAt});
			if (last !== undefined && load.promptTokensOffered >= last.prompt) {
				const seconds = (loadAt - last.reportedAt) / millisecondsPerSecond;
				this.#rates.set(name, {prefill: (load.promptTokensOffered - last.prompt) / seconds, decode: (load.outputTokensOffered - last.output) / seconds});
			}
		}

		const rates = targets.flatMap(({name}) => this.#rates.get(name) ?? []);
		return {
			prefill: rates.reduce((total, {prefill}) => total + prefill, 0),
			decode: rates.reduce((total, {decode}) => total + decode, 0),
		};
	}
}
