/**
Runs attempts at the target and performs the effects that the attempt table returns.
*/
import type {AttemptEffect} from '../decisions/attempts/attempt-effect.js';
import type {AttemptEvent} from '../decisions/attempts/attempt-event.js';
import type {AttemptTable} from '../decisions/attempts/attempt-table.js';
import type {AttemptMessage, Message} from '../generated/messages.js';
import {resultCode} from '../generated/result-codes.js';
import type {Target} from '../ports/target.js';
import {clock} from '../shared/clock.js';
import {catchInvariantError} from '../shared/catch-invariant-error.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';

const log = logger.child({module: 'attempts'});

type RunnerOptions = {
	readonly table: AttemptTable;
	readonly target: Target;
	readonly metrics: Metrics;
	readonly send: (link: string, message: Message) => void;
	/** Called after each event, because the target may have become idle. */
	readonly onEventHandled: () => void;
};

/**
Connects one attempt table to the target and the links.

@example
```
runner.dispatch({kind: 'attempt arrived', link, message});
```
*/
export class AttemptRunner {
	readonly #options: RunnerOptions;
	readonly #running = new Map<string, AbortController>();

	constructor(options: RunnerOptions) {
		this.#options = options;
	}

	/** Passes one event to the table and performs its effects in order. */
	dispatch(event: AttemptEvent): void {
		const {table, metrics, onEventHandled} = this.#options;
		catchInvariantError(metrics, {event: event.kind}, () => {
			for (const effect of table.handle(event, clock())) {
				this.#perform(effect);
			}
		});
		onEventHandled();
	}

	#perform(effect: AttemptEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#options.send(effect.link, effect.message);
				break;
			}

			case 'run': {
				void this.#run(effect.message);
				break;
			}

			case 'stop': {
				this.#running.get(effect.attemptId)?.abort();
				break;
			}

			case 'count': {
				this.#options.metrics.count(effect.counter);
				break;
			}
		}
	}

	async #run(message: AttemptMessage): Promise<void> {
		const {attemptId} = message;
		const abortController = new AbortController();
		this.#running.set(attemptId, abortController);
		const onText = (text: string): void => {
			this.dispatch({kind: 'target output', attemptId, text});
		};

		const result = await this.#options.target.run(message, onText, abortController.signal);
		this.#running.delete(attemptId);
		if (result.code !== resultCode.ok) {
			log.warn({attemptId, requestId: message.requestId, code: result.code}, 'target gave no complete answer');
		}

		this.dispatch({kind: 'target finished', attemptId, ...result});
	}
}
