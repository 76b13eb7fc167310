/**
Sends attempts to targets that exist only as a judge's record of what arrived.
*/
import {Buffer} from 'node:buffer';
import type {AttemptOutcome} from '../../source/entry/attempt-outcome.js';
import type {AttemptSender} from '../../source/entry/attempt-sender.js';
import type {RetryJudge} from './retry-judge.js';
import type {RetryTrouble} from './retry-trouble.js';

type Plan = Parameters<AttemptSender['send']>[0];

type SenderOptions = {
	readonly service: string;
	readonly judge: RetryJudge;
	readonly trouble: RetryTrouble;
	readonly now: () => number;
	/** Runs an act later, unless the process has ended by then. */
	readonly after: (milliseconds: number, act: () => void) => void;
	readonly random: () => number;
	/** Called with each attempt once its target is done with it. */
	readonly onEnd: (plan: Plan) => void;
};

const wayMilliseconds = 1;
const mostWorkMilliseconds = 80;
const facts = {status: 200, headers: {}} as unknown as Extract<AttemptOutcome, {kind: 'answer'}>['facts'];

/**
One instance a gateway and service.

@example
```
const sender = new VirtualSender(options);
new PlainRelay(request, context, sender as unknown as AttemptSender);
```
*/
export class VirtualSender {
	readonly #options: SenderOptions;

	constructor(options: SenderOptions) {
		this.#options = options;
	}

	send(plan: Plan): ReturnType<AttemptSender['send']> {
		const {after, random, trouble, onEnd} = this.#options;
		let isSent = false;
		let isEnded = false;
		let settle: (outcome: AttemptOutcome) => void = () => undefined;
		const outcome = new Promise<AttemptOutcome>(resolve => {
			settle = result => {
				if (!isEnded) {
					isEnded = true;
					onEnd(plan);
					resolve(result);
				}
			};
		});
		if (random() < trouble.unsent) {
			settle({kind: 'not sent', reason: 'no free connection'});
		} else {
			after(random() * trouble.connectMilliseconds, () => {
				if (isEnded) {
					return;
				}

				isSent = plan.mayStart?.() ?? true;
				if (isSent) {
					this.#arrive(plan, settle);
				} else {
					settle({kind: 'not sent', reason: 'no longer wanted'});
				}
			});
		}

		return {
			outcome,
			cancel() {
				settle(isSent ? {kind: 'unknown', reason: 'broken off by the gateway'} : {kind: 'not sent', reason: 'broken off by the gateway'});
			},
		};
	}

	async releaseHandle(): Promise<void> {
		// Nothing is kept here.
	}

	#arrive(plan: Plan, settle: (outcome: AttemptOutcome) => void): void {
		const {service, judge, trouble, now, after, random} = this.#options;
		const isReading = plan.instructions.isPrefillOnly;
		const isAccepted = random() >= trouble.refused;
		const delay = wayMilliseconds + (random() < trouble.delayed ? random() * trouble.delayMilliseconds : 0);
		judge.arrive({
			service, requestId: plan.facts.requestId, isReading, isAccepted,
		}, now() + delay);
		after(delay + wayMilliseconds + (isAccepted ? random() * mostWorkMilliseconds : 0), () => {
			settle(this.#outcome(isReading, isAccepted));
		});
	}

	#outcome(isReading: boolean, isAccepted: boolean): AttemptOutcome {
		const {random, trouble} = this.#options;
		if (random() < trouble.lost) {
			return {kind: 'unknown', reason: 'connection reset'};
		}

		if (!isAccepted) {
			return {kind: 'not run', isOtherTarget: false};
		}

		return isReading ? {kind: 'answer', facts, body: Buffer.from('handle')} : {kind: 'streamed', isWhole: true, reason: ''};
	}
}
