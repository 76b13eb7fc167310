/**
What callers were told, and what ran at targets on their behalf.
*/
import assert from 'node:assert/strict';
import * as option from 'fp-ts/lib/Option.js';
import type {RequestEffect} from '../../source/decisions/request/request-effect.js';
import type {RequestState} from '../../source/decisions/request/request-state.js';
import {describeCode} from '../../source/shared/describe-code.js';

type Caller = {
	state: RequestState;
	readonly tokens: number;
	received: string;
	ending: string | undefined;
	/** Executions of the request that reached a target. */
	executions: number;
	finals: number;
};

/** The text of one output token of a request. */
const tokenOf = (requestId: string, index: number): string => `${requestId}.${index};`;

/**
One entry a request.

@example
```
ledger.add(state, 12);
ledger.told('r1', effect);
ledger.check();
```
*/
export class CallerLedger {
	static readonly tokenOf = tokenOf;
	readonly #callers = new Map<string, Caller>();

	/** How often each ending was seen. */
	get endings(): ReadonlyMap<string, number> {
		const endings = new Map<string, number>();
		for (const {ending} of this.#callers.values()) {
			endings.set(ending ?? 'none', (endings.get(ending ?? 'none') ?? 0) + 1);
		}

		return endings;
	}

	add(state: RequestState, tokens: number): void {
		this.#callers.set(state.requestId, {
			state, tokens, received: '', ending: undefined, executions: 0, finals: 0,
		});
	}

	of(requestId: string): Caller {
		return this.#callers.get(requestId)!;
	}

	/** Requests without a final answer whose deadline has passed. */
	overdue(now: number): readonly string[] {
		return [...this.#callers].filter(([, {state}]) => state.phase !== 'done' && state.deadlineAt <= now).map(([requestId]) => requestId);
	}

	/** True while this is the attempt that the request waits for. */
	isLive(requestId: string, attemptId: string): boolean {
		const {state} = this.of(requestId);
		return option.isSome(state.attempt) && state.attempt.value.attemptId === attemptId;
	}

	/** Records what a caller is told by an effect; others change nothing here. */
	told(requestId: string, effect: RequestEffect): void {
		const caller = this.of(requestId);
		switch (effect.kind) { // eslint-disable-line @typescript-eslint/switch-exhaustiveness-check -- only what callers see
			case 'write': {
				caller.received += effect.text;
				break;
			}

			case 'complete': {
				caller.ending = 'complete';
				caller.finals += 1;
				break;
			}

			case 'refuse': {
				assert.equal(describeCode(effect.code).outcome, 'not run', `refused with ${effect.code}`);
				caller.ending = 'not run';
				caller.finals += 1;
				break;
			}

			case 'fail': {
				assert.notEqual(describeCode(effect.code).outcome, 'not run', `failed with ${effect.code}`);
				caller.ending = 'failed';
				caller.finals += 1;
				break;
			}
		}
	}

	/** Throws unless every promise held. */
	check(): void {
		for (const [requestId, caller] of this.#callers) {
			const {state, received, ending, executions, finals, tokens} = caller;
			const whole = Array.from({length: tokens}, (_, index) => tokenOf(requestId, index)).join('');
			assert.equal(state.phase, 'done', `${requestId} has no final answer`);
			assert.equal(finals, 1, `${requestId} has ${finals} final answers`);
			assert.ok(whole.startsWith(received), `${requestId} received ${received}`);
			if (ending === 'complete') {
				assert.equal(received, whole, `${requestId} was completed with a part of its answer`);
			}

			if (ending === 'not run') {
				assert.equal(executions, 0, `${requestId} was told "not run" and ran ${executions} times`);
				assert.equal(received, '');
			}

			if (!state.repeatable) {
				assert.ok(executions <= 1, `${requestId} may not be repeated and ran ${executions} times`);
			}
		}
	}
}
