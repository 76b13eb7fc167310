/**
Claims callers' idempotency keys in the store before a call is sent.

A claim is made by compare-and-swap, so that of two calls with one key at most
one is sent, whichever gateways they come to. Its answer may be lost; then the
key is read back and the claimant compared. With the store down the call is
refused as not run.
*/
import {createHash} from 'node:crypto';
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import type {ClaimRecord} from '../decisions/claims/claim-record.js';
import {resolveClaim} from '../decisions/claims/resolve-claim.js';
import {resultCode} from '../generated/result-codes.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import type {Metrics} from '../shared/metrics.js';
import type {GatewayRequest} from './gateway-request.js';

const mostTries = 3;
/** No further try is begun after this time; the caller is told at once when to come back. */
const claimMilliseconds = 1500;
const mostCleanUps = 10_000;
const cleanUpMilliseconds = 1000;
/** How long a key protects its call. */
const claimSeconds = 24 * 60 * 60;
/** One lease serves all claims that a gateway makes within this time. */
const leaseRenewalMilliseconds = 60 * 60 * 1000;

type Claim = {readonly key: string; readonly record: ClaimRecord; readonly revision: number};
type CleanUp = {readonly key: string; readonly claimant: string; readonly outcome: 'ran' | 'not run'};

const hash = (text: string): string => createHash('sha256').update(text).digest('base64url');

/**
The claims that one gateway makes.

@example
```
const claim = await claims.claim(request);
claim.map(made => claims.settle(made, 'ran'));
```
*/
export class IdempotencyClaims {
	readonly #store: KeyValueService;
	readonly #metrics: Metrics;
	readonly #now: () => number;
	#lease: {readonly id: string; readonly grantedAt: number} | undefined;
	/** Records whose last write failed, to be put right when the store answers. */
	#cleanUps: readonly CleanUp[] = [];
	readonly #timer: NodeJS.Timeout;

	constructor(store: KeyValueService, metrics: Metrics, now: () => number = clock) {
		this.#store = store;
		this.#now = now;
		this.#metrics = metrics;
		this.#timer = setInterval(() => {
			void this.#cleanUp();
		}, cleanUpMilliseconds);
	}

	/** Number of records still to be put right. */
	get pending(): number {
		return this.#cleanUps.length;
	}

	/** Claims the request's key; gives the final code when the call must not be sent. */
	async claim(request: GatewayRequest): Promise<Result<Claim, number>> {
		const {service, organisation, idempotencyKey, requestId, method, path, body} = request;
		const key = `cowsliprudder/claims/${hash([service, organisation, idempotencyKey].join('\n'))}`;
		const record: ClaimRecord = {claimant: requestId, digest: hash([method, path, body].join('\n')), state: 'claimed'};
		const giveUpAt = this.#now() + claimMilliseconds;
		const lease = await this.#currentLease();
		if (lease === undefined) {
			return this.#unavailable();
		}

		for (let tries = 0; tries < mostTries && this.#now() < giveUpAt; tries++) {
			const swapped = await this.#store.compareAndSwap({ // eslint-disable-line no-await-in-loop
				key, expectedRevision: 0, value: JSON.stringify(record), lease,
			});
			if (swapped.isOk() && option.isSome(swapped.value)) {
				this.#metrics.count('claim.made');
				return ok({key, record, revision: swapped.value.value});
			}

			const found = await this.#store.read(key); // eslint-disable-line no-await-in-loop
			if (found.isOk() && option.isSome(found.value)) {
				return this.#judge(key, record, found.value.value);
			}
		}

		this.#later({key, claimant: requestId, outcome: 'not run'});
		return this.#unavailable();
	}

	/** Records that the call ran, or frees the key of a call that did not run; an unknown outcome stays claimed. */
	async settle({key, record, revision}: Claim, outcome: 'ran' | 'not run' | 'unknown'): Promise<void> {
		if (outcome === 'unknown') {
			this.#metrics.count('claim.unresolved');
			return;
		}

		const written = outcome === 'ran'
			? await this.#store.compareAndSwap({
				key, expectedRevision: revision, value: JSON.stringify({...record, state: 'done'}), ...this.#lease === undefined ? {} : {lease: this.#lease.id},
			})
			: await this.#store.compareAndDelete(key, revision);
		if (written.isErr()) {
			this.#later({key, claimant: record.claimant, outcome});
		}
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#judge(key: string, record: ClaimRecord, {value, revision}: {readonly value: string; readonly revision: number}): Result<Claim, number> {
		const judgement = resolveClaim(JSON.parse(value) as ClaimRecord, record);
		if (judgement.kind === 'own') {
			this.#metrics.count('claim.answer-lost');
			return ok({key, record, revision});
		}

		this.#metrics.count(`claim.refused.${judgement.code}`);
		return err(judgement.code);
	}

	#unavailable(): Result<Claim, number> {
		this.#metrics.count(`claim.refused.${resultCode.claimUnavailable}`);
		return err(resultCode.claimUnavailable);
	}

	async #currentLease(): Promise<string | undefined> {
		if (this.#lease !== undefined && this.#now() - this.#lease.grantedAt < leaseRenewalMilliseconds) {
			return this.#lease.id;
		}

		const granted = await this.#store.grantLease(claimSeconds);
		if (granted.isErr()) {
			return this.#lease?.id;
		}

		this.#lease = {id: granted.value, grantedAt: this.#now()};
		return granted.value;
	}

	#later(cleanUp: CleanUp): void {
		this.#cleanUps = [...this.#cleanUps.slice(-mostCleanUps), cleanUp];
	}

	/** Puts one record right; the store's own revision guards against touching another's claim. */
	async #cleanUp(): Promise<void> {
		const [next, ...others] = this.#cleanUps;
		if (next === undefined) {
			return;
		}

		const found = await this.#store.read(next.key);
		if (found.isErr()) {
			return;
		}

		this.#cleanUps = others;
		if (option.isNone(found.value)) {
			return;
		}

		const {value, revision} = found.value.value;
		const record = JSON.parse(value) as ClaimRecord;
		if (record.claimant === next.claimant && record.state === 'claimed') {
			await this.settle({key: next.key, record, revision}, next.outcome);
		}
	}
}
