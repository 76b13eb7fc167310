/**
Measures how many tokens per second are offered to a service, from the counters in its targets' load reports.
*/
import type {TargetView} from '../decisions/routing/target-view.js';

const millisecondsPerSecond = 1000;

type Counters = {readonly prompt: number; readonly output: number; readonly reportedAt: number};

/**
Computes rates from counters that only grow while a sidecar runs. A restarted
sidecar counts from 0 again, so a report with a lower count only sets new starting
values.

Each retry is counted as offered again. That is acceptable because retries have the
same ratio of prompt to output tokens, which is what the planner uses.

@example
```
const {prefill, decode} = demand.observe(targets);
```
*/
export class OfferedDemand {
	readonly #previousCounters = new Map<string, Counters>();
	readonly #rates = new Map<string, {readonly prefill: number; readonly decode: number}>();

	/** Returns the prompt and output tokens offered per second, summed over the rates of the given targets. */
	observe(targets: readonly TargetView[]): {readonly prefill: number; readonly decode: number} {
		for (const {name, load, loadAt} of targets) {
			const previousCounters = this.#previousCounters.get(name);
			if (load === undefined || previousCounters?.reportedAt === loadAt) {
				continue;
			}

			this.#previousCounters.set(name, {prompt: load.promptTokensOffered, output: load.outputTokensOffered, reportedAt: loadAt});
			if (previousCounters !== undefined && load.promptTokensOffered >= previousCounters.prompt) {
				const seconds = (loadAt - previousCounters.reportedAt) / millisecondsPerSecond;
				this.#rates.set(name, {prefill: (load.promptTokensOffered - previousCounters.prompt) / seconds, decode: (load.outputTokensOffered - previousCounters.output) / seconds});
			}
		}

		const rates = targets.flatMap(({name}) => this.#rates.get(name) ?? []);
		return {
			prefill: rates.reduce((total, {prefill}) => total + prefill, 0),
			decode: rates.reduce((total, {decode}) => total + decode, 0),
		};
	}
}
