/**
The attempts that run at one target on a virtual clock.
*/
import type {AttemptEvent} from '../../source/decisions/attempts/attempt-event.js';
import type {AttemptMessage} from '../../source/generated/messages.js';
import {resultCode} from '../../source/generated/result-codes.js';
import {CallerLedger} from './caller-ledger.js';

type Run = {readonly requestId: string; made: number; readonly total: number; readonly base: number};

const broken = (attemptId: string): AttemptEvent => ({
	kind: 'target finished', attemptId, code: resultCode.targetLost, status: 502, finishReason: '', contentType: '',
});

/**
Each step makes one token of each attempt, and ends those that have all of theirs.

@example
```
runs.start(message);
runs.step(event => dispatch(event));
```
*/
export class TargetRuns {
	readonly #runs = new Map<string, Run>();

	start({attemptId, requestId, outputTokens, body}: AttemptMessage): void {
		this.#runs.set(attemptId, {
			requestId, made: 0, total: outputTokens, base: Number(body),
		});
	}

	/** Ends an attempt without an answer. */
	stop(attemptId: string, tell: (event: AttemptEvent) => void): void {
		this.#runs.delete(attemptId);
		tell(broken(attemptId));
	}

	stopAll(tell: (event: AttemptEvent) => void): void {
		for (const attemptId of this.#runs.keys()) {
			this.stop(attemptId, tell);
		}
	}

	step(tell: (event: AttemptEvent) => void): void {
		for (const [attemptId, run] of this.#runs) {
			if (run.made < run.total) {
				tell({kind: 'target output', attemptId, text: CallerLedger.tokenOf(run.requestId, run.base + run.made)});
				run.made += 1;
				continue;
			}

			this.#runs.delete(attemptId);
			tell({
				kind: 'target finished', attemptId, code: 0, status: 200, finishReason: 'length', contentType: '',
			});
		}
	}
}
