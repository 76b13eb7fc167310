/**
The platform's duty interface in virtual time, which judges what it receives.
*/
import type {DutyInterface} from '../../source/ports/duty-interface.js';
import type {VirtualTime} from './virtual-time.js';

type Fault = 'none' | 'cut' | 'lost answer' | 'late';

type Caller = {
	readonly fault: () => Fault;
	/** Carries out what is due at the caller, once its process runs. */
	readonly run: (act: () => void) => void;
};

type Options = {
	readonly isFencing: boolean;
	readonly random: () => number;
	/** When the lease of a token was acquired, and until when it ran. */
	readonly leaseOf: (token: number) => {readonly acquiredAt: number; readonly expiresAt: number} | undefined;
};

type Outcome = Awaited<ReturnType<DutyInterface['reportUsage']>>;
type Call = {readonly at: number; readonly holder: string; readonly token: number; readonly window: number};

const timeoutMilliseconds = 2500;
const wayMilliseconds = 3;
const leaseMilliseconds = 3000;
const maxCallsPerSecond = 50;

/**
`faults` lists what must never happen.

@example
```
const platform = new VirtualDutyPlatform(time, {isFencing: true, random, leaseOf});
platform.faults; // []
```
*/
export class VirtualDutyPlatform {
	slowMilliseconds = 0;
	/** Until when nothing is answered. */
	awayUntil = 0;
	readonly faults: string[] = [];
	/** The accepted content of each window, with the time of its arrival. */
	readonly accepted = new Map<number, {readonly content: string; readonly at: number}>();
	readonly #holders = new Map<number, string>();
	readonly #rejected = new Set<string>();
	readonly #calls: Call[] = [];
	#highestToken = 0;
	readonly #time: VirtualTime;
	readonly #options: Options;

	constructor(time: VirtualTime, options: Options) {
		this.#time = time;
		this.#options = options;
	}

	get callCount(): number {
		return this.#calls.length;
	}

	get holderCount(): number {
		return new Set(this.#calls.map(({token}) => token)).size;
	}

	port(caller: Caller): DutyInterface {
		return {
			reportUsage: async (window, content, {holder, fencingToken, mayCall}) => new Promise(resolve => {
				if (!mayCall()) {
					resolve({kind: 'not sent', reason: 'no longer allowed'});
					return;
				}

				const fault = this.#time.now < this.awayUntil ? 'cut' : caller.fault();
				const answer = (outcome: Outcome): void => {
					caller.run(() => {
						resolve(outcome);
					});
				};

				const cancel = this.#time.after(timeoutMilliseconds, () => {
					answer({kind: 'unknown', reason: 'no answer in time'});
				});
				if (fault === 'cut') {
					return;
				}

				this.#time.after(wayMilliseconds, () => {
					this.#judge({
						at: this.#time.now, holder, token: fencingToken, window,
					});
					this.#time.after(fault === 'late' ? this.#options.random() * 5000 : 0, () => {
						const outcome = this.#perform(window, content, fencingToken);
						this.#time.after(this.slowMilliseconds + wayMilliseconds, () => {
							if (fault === 'none') {
								cancel();
								this.#recordRejection(outcome, `${holder} ${fencingToken}`);
								answer(outcome);
							}
						});
					});
				});
			}),
		};
	}

	#recordRejection({kind}: Outcome, caller: string): void {
		if (kind === 'fenced') {
			// A call that is under way at this moment is no fault.
			this.#time.after(wayMilliseconds * 2, () => {
				this.#rejected.add(caller);
			});
		}
	}

	#judge(call: Call): void {
		const {at, holder, token, window} = call;
		if ((this.#holders.get(token) ?? holder) !== holder) {
			this.faults.push(`${at}: ${holder} uses the token ${token} of ${this.#holders.get(token)}`);
		}

		if (token < this.#highestToken) {
			this.faults.push(`${at}: ${holder} uses the token ${token} after ${this.#highestToken}`);
		}

		if (this.#rejected.has(`${holder} ${token}`)) {
			this.faults.push(`${at}: ${holder} uses the refused token ${token}`);
		}

		const lease = this.#options.leaseOf(token);
		const sentAt = at - wayMilliseconds;
		if (lease === undefined || sentAt < lease.acquiredAt + leaseMilliseconds || sentAt >= lease.expiresAt) {
			this.faults.push(`${at}: ${holder} acts outside of its lease, acquired at ${lease?.acquiredAt}, until ${lease?.expiresAt}`);
		}

		const recent = this.#calls.filter(former => at - former.at <= leaseMilliseconds);
		const lastOther = recent.findLastIndex(former => former.holder !== holder);
		if (recent.slice(0, Math.max(0, lastOther)).some(former => former.holder === holder)) {
			this.faults.push(`${at}: ${holder} acts before and after another holder, window ${window}`);
		}

		if (recent.filter(former => at - former.at <= 1000).length >= maxCallsPerSecond) {
			this.faults.push(`${at}: too many calls`);
		}

		this.#holders.set(token, holder);
		this.#highestToken = Math.max(this.#highestToken, token);
		this.#calls.push(call);
	}

	#perform(window: number, content: string, token: number): Outcome {
		if (this.#options.isFencing && token < this.#highestToken) {
			return {kind: 'fenced'};
		}

		const former = this.accepted.get(window);
		if (former !== undefined && former.content !== content) {
			this.faults.push(`${this.#time.now}: window ${window} is reported twice: ${former.content} and ${content}`);
		}

		this.accepted.set(window, former ?? {content, at: this.#time.now});
		return {kind: 'accepted'};
	}
}
