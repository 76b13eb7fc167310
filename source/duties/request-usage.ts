/**
Tells the usage counter when one request began to run at a target.
*/
import type {AttemptOutcome} from '../entry/attempt-outcome.js';
import type {CallerRequest} from '../entry/caller-request.js';
import type {UsageCounter} from './usage-counter.js';

/** True when the answer to a plain call shows that its target ran it. */
const hasRun = ({kind}: AttemptOutcome): boolean => kind === 'answer' || kind === 'failure' || kind === 'streamed';

/**
One instance a request. Counts it at most once, and only for a team. Does nothing without a counter.

@example
```
const usage = new RequestUsage(context.duties?.counter, request.team);
usage.recordSent(clock());
usage.recordOutcome(await outcome);
```
*/
export class RequestUsage {
	#isCounted = false;
	#sentAt = 0;
	#closeCall: (() => void) | undefined;
	readonly #counter: Pick<UsageCounter, 'recordBegun' | 'openCall'> | undefined;
	readonly #team: CallerRequest['team'];

	constructor(counter: Pick<UsageCounter, 'recordBegun' | 'openCall'> | undefined, team: CallerRequest['team']) {
		this.#counter = counter;
		this.#team = team;
	}

	/** Records that the request began, with the first event of its stream. */
	recordBegun(at: number): void {
		if (!this.#isCounted && this.#team.kind === 'team') {
			this.#isCounted = true;
			this.#counter?.recordBegun(this.#team.name, at);
		}
	}

	/** Records that an attempt at a plain call was sent, which may begin now. */
	recordSent(at: number): void {
		if (!this.#isCounted && this.#team.kind === 'team') {
			this.#sentAt = at;
			this.#closeCall?.();
			this.#closeCall = this.#counter?.openCall(at);
		}
	}

	/** Records how the last attempt that was sent has ended. */
	recordOutcome(outcome: AttemptOutcome): void {
		if (hasRun(outcome)) {
			this.recordBegun(this.#sentAt);
		}

		this.#closeCall?.();
		this.#closeCall = undefined;
	}
}
