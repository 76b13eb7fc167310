/**
Issues permits for the rate-limited targets that this gateway owns.
*/
import type {PeerMessage} from '../generated/peer-messages.js';
import {PermitIssue} from '../decisions/limits/permit-issue.js';
import type {Timers} from '../shared/timers.js';
import type {EntryMetrics} from './entry-metrics.js';

type Permits = Extract<PeerMessage, {kind: 'permits'}>;

type Account = {readonly issue: PermitIssue; cancel: (() => void) | undefined};

type Options = {
	/** The rate at which this gateway may issue permits of a target, in permits a second; undefined while it may not, or the target has no limit. */
	readonly issueRate: (incarnation: string) => number | undefined;
	/** Hands permits to a gateway, which may be this one. */
	readonly hand: (gateway: string, permits: Permits) => void;
	/** How long an ask counts, in milliseconds. */
	readonly askLifetime: () => number;
	readonly metrics: Pick<EntryMetrics, 'count'>;
	readonly now: () => number;
	readonly timers: Pick<Timers, 'after'>;
};

/**
One instance a process.

@example
```
issuer.ask('gateway-2', {target: 'engine-3 17', wanted: 2, askedAt: 17});
```
*/
export class PermitIssuer {
	readonly #options: Options;
	readonly #accounts = new Map<string, Account>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Takes the ask of a gateway, and hands out what may be issued now. The rest follows as time passes. */
	ask(gateway: string, {target, wanted, askedAt}: {readonly target: string; readonly wanted: number; readonly askedAt: number}): void {
		const {issueRate, askLifetime, metrics, now} = this.#options;
		if (issueRate(target) === undefined) {
			metrics.count('permit.ask-ignored');
			return;
		}

		const account = this.#accounts.get(target) ?? {issue: new PermitIssue(now()), cancel: undefined};
		this.#accounts.set(target, account);
		account.issue.ask(gateway, {wanted, askedAt, lifetimeMilliseconds: askLifetime()}, now());
		this.#issue(target, account);
	}

	removePeer(peer: string): void {
		for (const {issue} of this.#accounts.values()) {
			issue.discard(peer);
		}
	}

	/** Ends the accounts of all other targets. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		for (const [target, {cancel}] of this.#accounts) {
			if (!incarnations.has(target)) {
				cancel?.();
				this.#accounts.delete(target);
			}
		}
	}

	#issue(target: string, account: Account): void {
		const {issueRate, hand, metrics, now, timers} = this.#options;
		account.cancel?.();
		account.cancel = undefined;
		const rate = issueRate(target);
		if (rate === undefined) {
			return;
		}

		for (const {gateway, askedAt, count} of account.issue.take(rate, now())) {
			metrics.count('permit.issued', count);
			hand(gateway, {
				kind: 'permits', target, count, askedAt,
			});
		}

		const wait = account.issue.waitMilliseconds(rate);
		account.cancel = wait === undefined
			? undefined
			: timers.after(wait, () => {
				this.#issue(target, account);
			});
	}
}
