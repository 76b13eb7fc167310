/**
Runs callers' requests. Claims the idempotency key first, if a non-repeatable request has one.
*/
import {RetryBudget} from '../decisions/request/retry-budget.js';
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {ServiceConfiguration} from '../generated/configuration.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {clock} from '../shared/clock.js';
import {describeCode} from '../shared/describe-code.js';
import type {Metrics} from '../shared/metrics.js';
import type {CallerSink} from './caller-sink.js';
import type {GatewayRequest} from './gateway-request.js';
import {IdempotencyClaims} from './idempotency-claims.js';
import {RequestRunner} from './request-runner.js';
import type {TargetLinks} from './target-links.js';

const defaultRetryShare = 0.2;
const claimRetryAfterMilliseconds = 1000;

type DispatcherOptions = {
	readonly gateway: string;
	readonly availabilityZone: string;
	readonly store: KeyValueService;
	readonly directory: TargetDirectory;
	readonly links: TargetLinks;
	readonly metrics: Metrics;
};
type Outcome = 'ran' | 'not run' | 'unknown';

/**
Starts the requests of one gateway and counts those in progress.

@example
```
const onDisconnect = dispatcher.run(request, sink);
```
*/
export class RequestDispatcher {
	readonly #options: DispatcherOptions;
	readonly #claims: IdempotencyClaims;
	readonly #retryBudgets = new Map<string, RetryBudget>();
	#liveRequests = 0;

	constructor(options: DispatcherOptions) {
		this.#options = options;
		this.#claims = new IdempotencyClaims(options.store, options.metrics);
	}

	/** Number of requests that have no final answer yet, or whose claim does not record the outcome yet. */
	get liveRequests(): number {
		return this.#liveRequests;
	}

	/** Number of claims whose stored record still has to be corrected. */
	get pendingClaims(): number {
		return this.#claims.pendingCleanUps;
	}

	/** Applies the configured retry shares. */
	configure(services: readonly ServiceConfiguration[]): void {
		for (const {name, retryShare} of services) {
			this.#retryBudgetOf(name).setShare(retryShare ?? defaultRetryShare);
		}
	}

	/** Starts a request. Returns a function to be called when the caller disconnects. */
	run(request: GatewayRequest, sink: CallerSink): () => void {
		this.#liveRequests += 1;
		if (!request.repeatable && request.idempotencyKey !== '') {
			void this.#runWithClaim(request, sink);
			// A claimed call runs to its end even when its caller disconnects, so that its outcome can be recorded.
			return () => undefined;
		}

		const runner = this.#createRunner(request, sink, () => {
			this.#liveRequests -= 1;
		});
		runner.start();
		return () => {
			runner.onDisconnect();
		};
	}

	close(): void {
		this.#claims.close();
	}

	#retryBudgetOf(service: string): RetryBudget {
		const retryBudget = this.#retryBudgets.get(service) ?? new RetryBudget(defaultRetryShare);
		this.#retryBudgets.set(service, retryBudget);
		return retryBudget;
	}

	async #runWithClaim(request: GatewayRequest, sink: CallerSink): Promise<void> {
		const startedAt = clock();
		const claim = await this.#claims.claim(request);
		if (claim.isErr()) {
			this.#liveRequests -= 1;
			this.#answerClaimFailure(claim.error, sink);
			return;
		}

		const deadlineMilliseconds = request.deadlineMilliseconds - (clock() - startedAt);
		let outcome: Outcome = 'unknown';
		const recordingSink: CallerSink = {
			write(text) {
				sink.write(text);
			},
			complete(...end) {
				outcome = 'ran';
				sink.complete(...end);
			},
			refuse(...refusal) {
				outcome = 'not run';
				sink.refuse(...refusal);
			},
			fail(code) {
				outcome = describeCode(code).outcome;
				sink.fail(code);
			},
		};
		this.#createRunner({...request, deadlineMilliseconds}, recordingSink, () => {
			void this.#recordOutcome(claim.value, outcome);
		}).start();
	}

	#answerClaimFailure(code: number, sink: CallerSink): void {
		if (describeCode(code).outcome === 'not run') {
			sink.refuse(code, claimRetryAfterMilliseconds);
			return;
		}

		sink.fail(code);
	}

	async #recordOutcome(claim: Parameters<IdempotencyClaims['recordOutcome']>[0], outcome: Outcome): Promise<void> {
		await this.#claims.recordOutcome(claim, outcome);
		this.#liveRequests -= 1;
	}

	#createRunner(request: GatewayRequest, sink: CallerSink, onDone: () => void): RequestRunner {
		const {gateway, availabilityZone, links, directory, metrics} = this.#options;
		return new RequestRunner(request, sink, {
			gateway, availabilityZone, links, directory, retryBudget: this.#retryBudgetOf(request.service), metrics, onDone,
		});
	}
}
