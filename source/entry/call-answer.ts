/**
The answer to one call, which is kept until it is whole unless it is too large for that.
*/
import {resultCode} from '../generated/result-codes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {AnswerAssembly} from './answer-assembly.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {AttemptPlan} from './attempt-plan.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';
import {passOnTo} from './pass-on-to.js';
import type {RequestLifecycle} from './request-lifecycle.js';

/**
One instance a call.

@example
```
const assembly = new CallAnswer(request, context, lifecycle);
```
*/
export class CallAnswer implements AnswerAssembly {
	readonly lastEventId = undefined;
	readonly #request: CallerRequest;
	readonly #context: Pick<EntryContext, 'now'>;
	readonly #lifecycle: RequestLifecycle;

	constructor(request: CallerRequest, context: Pick<EntryContext, 'now'>, lifecycle: RequestLifecycle) {
		this.#request = request;
		this.#context = context;
		this.#lifecycle = lifecycle;
	}

	get isRepeatable(): boolean {
		return this.#request.route.kind === 'idempotent';
	}

	createReceivers(): Pick<AttemptPlan, 'sink' | 'spill'> {
		return {spill: () => passOnTo(this.#request.answer)};
	}

	recordSent(): void {
		this.#lifecycle.usage.recordSent(this.#context.now());
	}

	recordOutcome(outcome: AttemptOutcome): void {
		this.#lifecycle.usage.recordOutcome(outcome);
	}

	handleOutcome(target: TargetRecord, outcome: AttemptOutcome): boolean {
		const {answer} = this.#request;
		switch (outcome.kind) {
			case 'answer': {
				answer.send(outcome.facts, outcome.body);
				this.#lifecycle.end({outcome: 'answered'});
				return false;
			}

			case 'streamed': {
				this.#lifecycle.recordRun();
				if (outcome.isWhole) {
					answer.end();
					this.#lifecycle.end({outcome: 'answered'});
				} else {
					this.#lifecycle.fail(resultCode.answerIncomplete, outcome.reason);
				}

				return false;
			}

			case 'not sent':
			case 'not run':
			case 'unknown':
			case 'failure': {
				return this.#lifecycle.handleUnansweredAttempt(target, outcome);
			}
		}
	}
}
