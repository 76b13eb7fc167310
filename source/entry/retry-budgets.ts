/**
The retry budgets of the services, one each.
*/
import {WindowedRetryBudget} from '../decisions/entry/requests/windowed-retry-budget.js';
import type {EntrySettings} from './entry-settings.js';

/**
One instance a process.

@example
```
budgets.of('advice-llm').recordRequest(clock());
```
*/
export class RetryBudgets {
	readonly #settings: () => EntrySettings;
	readonly #budgets = new Map<string, WindowedRetryBudget>();

	constructor(settings: () => EntrySettings) {
		this.#settings = settings;
	}

	/** Returns the budget of a service, which begins with the settings at its first use. */
	of(service: string): WindowedRetryBudget {
		const {bounds: {retryShare, retryWindowMilliseconds, retryExtra}, isFirstStart} = this.#settings();
		const budget = this.#budgets.get(service) ?? new WindowedRetryBudget({
			share: retryShare, windowMilliseconds: retryWindowMilliseconds, extra: retryExtra, isFirstStart,
		});
		this.#budgets.set(service, budget);
		return budget;
	}
}
