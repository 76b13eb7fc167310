/**
Keeps one request from engines while its prompt is in quarantine, and reports what its answer proves.
*/
import {resultCode} from '../generated/result-codes.js';
import type {EntryContext} from './entry-context.js';
import type {RequestLifecycle} from './request-lifecycle.js';

/** An engine that has written an answer for this long does not crash because it began it. */
const provenMilliseconds = 500;

/**
One instance a request.

@example
```
if (gate.refuseHeld()) {
	return;
}
```
*/
export class QuarantineGate {
	readonly #context: EntryContext;
	readonly #lifecycle: RequestLifecycle;
	/** Ids of the shared parts of the prompt. */
	readonly #parts: readonly string[];
	/** When the first event of the current attempt arrived. */
	#firstEventAt: number | undefined;
	#isProven = false;

	constructor(context: EntryContext, lifecycle: RequestLifecycle, parts: readonly string[]) {
		this.#context = context;
		this.#lifecycle = lifecycle;
		this.#parts = parts;
	}

	/** Ends the request if its prompt is in quarantine; true when it has. */
	refuseHeld(): boolean {
		const held = this.#check();
		if (held === undefined) {
			return false;
		}

		this.#lifecycle.log.add('prompt quarantined', {
			parts: held.parts.join(','), crashes: held.crashes, lastCrashAge: held.lastCrashAge, trialDueIn: held.trialDueIn,
		}, this.#context.now());
		this.#lifecycle.refuse(resultCode.promptQuarantined, held.trialDueIn);
		return true;
	}

	/** The last check before the first byte of an attempt, because the prompt may have been quarantined while it waited. */
	mayStartAttempt(): boolean {
		this.#firstEventAt = undefined;
		return this.#check() === undefined && this.#lifecycle.tryStartAttempt();
	}

	/** Records that events of the answer arrived. */
	recordEvents(): void {
		const now = this.#context.now();
		this.#firstEventAt ??= now;
		if (now - this.#firstEventAt >= provenMilliseconds) {
			this.recordAnswered();
		}
	}

	/** Records that the answer was complete, or has gone on for so long that the prompt crashes no engine. */
	recordAnswered(): void {
		if (!this.#isProven) {
			this.#isProven = true;
			this.#context.quarantine.recordAnswered(this.#parts);
		}
	}

	#check(): ReturnType<EntryContext['quarantine']['check']> {
		return this.#context.quarantine.check(this.#lifecycle.request.facts.requestId, this.#parts);
	}
}
