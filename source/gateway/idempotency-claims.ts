/**
Claims callers' idempotency keys in the store before a call is sent.

A claim is a compare-and-swap. So at most one of two calls with the same key is sent,
whichever gateways receive them. If the store's answer is lost, the key is read
back and its claimant is compared. While the store is unavailable, calls are
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

const maxTries = 3;
/** After this time no further try starts; the call is refused with a Retry-After header. */
const claimTimeoutMilliseconds = 1500;
const maxCleanUps = 10_000;
const cleanUpIntervalMilliseconds = 1000;
/** Time to live of the lease on claims. Until it ends, no second call with the same key is sent. */
const claimLeaseSeconds = 24 * 60 * 60;
/** A gateway uses one lease for all claims that it makes within this time. */
const leaseRenewalMilliseconds = 60 * 60 * 1000;

type Claim = {readonly key: string; readonly record: ClaimRecord; readonly revision: number};
type CleanUp = {readonly key: string; readonly claimant: string; readonly outcome: 'ran' | 'not run'};

const hash = (text: string): string => createHash('sha256').update(text).digest('base64url');

/**
Claims of one gateway.

@example
```
const claim = await claims.claim(request);
claim.map(made => claims.recordOutcome(made, 'ran'));
```
*/
export class IdempotencyClaims {
	readonly #store: KeyValueService;
	readonly #metrics: Metrics;
	readonly #now: () => number;
	#lease: {readonly id: string; readonly grantedAt: number} | undefined;
	/** Claims whose stored record may be wrong because a write failed. They are corrected when the store is available again. */
	#cleanUps: readonly CleanUp[] = [];
	readonly #timer: NodeJS.Timeout;

	constructor(store: KeyValueService, metrics: Metrics, now: () => number = clock) {
		this.#store = store;
		this.#now = now;
		this.#metrics = metrics;
		this.#timer = setInterval(() => {
			void this.#runCleanUp();
		}, cleanUpIntervalMilliseconds);
	}

	/** Number of claims whose stored record still has to be corrected. */
	get pendingCleanUps(): number {
		return this.#cleanUps.length;
	}

	/** Claims the request's key. The error is the code of the final answer when the call must not be sent. */
	async claim(request: GatewayRequest): Promise<Result<Claim, number>> {
		const {service, organisation, idempotencyKey, requestId, method, path, body} = request;
		const key = `cowsliprudder/claims/${hash([service, organisation, idempotencyKey].join('\n'))}`;
		const record: ClaimRecord = {claimant: requestId, digest: hash([method, path, body].join('\n')), state: 'claimed'};
		const giveUpAt = this.#now() + claimTimeoutMilliseconds;
		const lease = await this.#currentLease();
		if (lease === undefined) {
			return this.#refuseAsUnavailable();
		}

		for (let tries = 0; tries < maxTries && this.#now() < giveUpAt; tries++) {
			const swapped = await this.#store.compareAndSwap({ // eslint-disable-line no-await-in-loop
				key, expectedRevision: 0, value: JSON.stringify(record), lease,
			});
			if (swapped.isOk() && option.isSome(swapped.value)) {
				this.#metrics.count('claim.made');
				return ok({key, record, revision: swapped.value.value});
			}

			const found = await this.#store.read(key); // eslint-disable-line no-await-in-loop
			if (found.isOk() && option.isSome(found.value)) {
				return this.#checkExistingClaim(key, record, found.value.value);
			}
		}

		this.#scheduleCleanUp({key, claimant: requestId, outcome: 'not run'});
		return this.#refuseAsUnavailable();
	}

	/** Records that the call ran, or releases the key of a call that did not run. The key of a call with an unknown outcome stays claimed. */
	async recordOutcome({key, record, revision}: Claim, outcome: 'ran' | 'not run' | 'unknown'): Promise<void> {
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
			this.#scheduleCleanUp({key, claimant: record.claimant, outcome});
		}
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#checkExistingClaim(key: string, record: ClaimRecord, {value, revision}: {readonly value: string; readonly revision: number}): Result<Claim, number> {
		const resolution = resolveClaim(JSON.parse(value) as ClaimRecord, record);
		if (resolution.kind === 'own') {
			this.#metrics.count('claim.answer-lost');
			return ok({key, record, revision});
		}

		this.#metrics.count(`claim.refused.${resolution.code}`);
		return err(resolution.code);
	}

	#refuseAsUnavailable(): Result<Claim, number> {
		this.#metrics.count(`claim.refused.${resultCode.claimUnavailable}`);
		return err(resultCode.claimUnavailable);
	}

	async #currentLease(): Promise<string | undefined> {
		if (this.#lease !== undefined && this.#now() - this.#lease.grantedAt < leaseRenewalMilliseconds) {
			return this.#lease.id;
		}

		const granted = await this.#store.grantLease(claimLeaseSeconds);
		if (granted.isErr()) {
			return this.#lease?.id;
		}

		this.#lease = {id: granted.value, grantedAt: this.#now()};
		return granted.value;
	}

	#scheduleCleanUp(cleanUp: CleanUp): void {
		this.#cleanUps = [...this.#cleanUps.slice(1 - maxCleanUps), cleanUp];
	}

	/** Corrects one stored record. The revision that was read guards against changing another request's claim. */
	async #runCleanUp(): Promise<void> {
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
			await this.recordOutcome({key: next.key, record, revision}, next.outcome);
		}
	}
}
